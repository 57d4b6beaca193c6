//! The platform's list of backend servers, as one instance holds it.
//!
//! Entries also vanish because the platform was away and could not hear the servers. Such entries
//! are kept until their servers had time to register again.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::roster::Server;
use wb_types::roster::Stay;

/// Time after the platform's return in which servers register again: two seconds by its
/// documentation, and some for the way.
const RETURN: Duration = Duration::from_millis(2300);
/// Longest time that a lapsed entry is kept without news of the platform.
const KEEP_MAX: Duration = Duration::from_secs(20);
/// Time after a failed call in which a vanished entry counts as lapsed.
const IMPAIRED: Duration = Duration::from_secs(3);
/// Part of a service's entries that vanish together only if the platform lost them.
const MASS: f64 = 0.5;
/// Entries that must vanish together to be a mass.
const MASS_LEAST: usize = 3;

/// Version of the platform's rows up to which a list is complete.
pub type Mark = u64;

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The server.
    pub server: Server,
    /// How long the server stays slow after its start.
    pub cold: Duration,
    /// Start of its process, in milliseconds of the time of day; 0 if it does not say.
    pub started: u64,
}

/// Changes between two marks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// Mark that the changes follow on.
    pub after: Mark,
    /// Mark that they lead to.
    pub upto: Mark,
    /// Entries that are new or changed, and names of those that vanished.
    pub changes: Vec<(ServerName, Option<Entry>)>,
}

/// Why an entry is kept although it vanished.
#[derive(Clone, Debug)]
struct Lapse {
    until: Moment,
    returned: bool,
}

/// The list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    mark: Option<Mark>,
    entries: BTreeMap<ServerName, Entry>,
    lapses: BTreeMap<ServerName, Lapse>,
    failed: Option<Moment>,
}

impl Listing {
    /// Mark up to which the list is complete; `None` before the first.
    pub fn mark(&self) -> Option<Mark> {
        self.mark
    }

    /// All entries, those that are kept included.
    pub fn entries(&self) -> &BTreeMap<ServerName, Entry> {
        &self.entries
    }

    /// Entries that are kept although they vanished.
    pub fn lapsed(&self) -> usize {
        self.lapses.len()
    }

    /// A call of the platform failed.
    pub fn failed(&mut self, now: Moment) {
        self.failed = Some(now);
        for lapse in self.lapses.values_mut() {
            if lapse.returned {
                lapse.returned = false;
                lapse.until = now + KEEP_MAX;
            }
        }
    }

    /// A call of the platform was answered.
    pub fn answered(&mut self, now: Moment) {
        for lapse in self.lapses.values_mut().filter(|lapse| !lapse.returned) {
            lapse.returned = true;
            lapse.until = lapse.until.min(now + RETURN);
        }
    }

    /// Takes the whole list. Returns what changed.
    pub fn replace(
        &mut self,
        mark: Mark,
        entries: Vec<Entry>,
        now: Moment,
    ) -> Vec<(ServerName, Option<Entry>)> {
        let mut changes: Vec<(ServerName, Option<Entry>)> = Vec::new();
        let fresh: BTreeMap<ServerName, Entry> = entries
            .into_iter()
            .map(|entry| (entry.server.name.clone(), entry))
            .collect();
        for name in self
            .entries
            .keys()
            .filter(|name| !fresh.contains_key(*name))
        {
            changes.push((name.clone(), None));
        }
        changes.extend(fresh.into_iter().map(|(name, entry)| (name, Some(entry))));
        self.mark = Some(mark);
        self.take(changes, now)
    }

    /// Takes changes that follow on the mark. Returns what changed, or `None` if changes between
    /// are missing. Changes that are known already are passed over.
    pub fn apply(
        &mut self,
        update: Update,
        now: Moment,
    ) -> Option<Vec<(ServerName, Option<Entry>)>> {
        let mark = self.mark?;
        if update.after > mark {
            return None;
        }
        if update.upto < mark {
            return Some(Vec::new());
        }
        self.mark = Some(update.upto);
        Some(self.take(update.changes, now))
    }

    /// Takes changes that another instance has judged already.
    pub fn follow(&mut self, update: Update) -> Option<Vec<(ServerName, Option<Entry>)>> {
        let mark = self.mark?;
        if update.after > mark {
            return None;
        }
        if update.upto < mark {
            return Some(Vec::new());
        }
        self.mark = Some(update.upto);
        let mut changed = Vec::new();
        for (name, entry) in update.changes {
            self.lapses.remove(&name);
            if self.put(&name, entry.clone()) {
                changed.push((name, entry));
            }
        }
        Some(changed)
    }

    fn take(
        &mut self,
        changes: Vec<(ServerName, Option<Entry>)>,
        now: Moment,
    ) -> Vec<(ServerName, Option<Entry>)> {
        let impaired = self
            .failed
            .is_some_and(|at| now.saturating_sub(at) < IMPAIRED);
        let mass = self.masses(&changes);
        let mut changed = Vec::new();
        for (name, entry) in changes {
            if entry.is_none() && (impaired || self.is_of(&name, &mass)) && self.is_live(&name) {
                let until = now + KEEP_MAX;
                let lapse = Lapse {
                    until,
                    returned: false,
                };
                self.lapses.entry(name).or_insert(lapse);
                continue;
            }
            self.lapses.remove(&name);
            if self.put(&name, entry.clone()) {
                changed.push((name, entry));
            }
        }
        changed
    }

    /// Services of which so many entries vanish together that the platform must have lost them.
    fn masses(&self, changes: &[(ServerName, Option<Entry>)]) -> Vec<ServiceName> {
        let mut lost: HashMap<&ServiceName, usize> = HashMap::new();
        for (name, _) in changes.iter().filter(|(_, entry)| entry.is_none()) {
            if let Some(entry) = self.entries.get(name).filter(|_| self.is_live(name)) {
                *lost.entry(&entry.server.service).or_default() += 1;
            }
        }
        let of = |service: &ServiceName| {
            let all = self.entries.values();
            all.filter(|entry| entry.server.service == *service).count()
        };
        lost.into_iter()
            .filter(|(service, count)| {
                *count >= MASS_LEAST && *count as f64 > of(service) as f64 * MASS
            })
            .map(|(service, _)| service.clone())
            .collect()
    }

    fn is_of(&self, name: &str, services: &[ServiceName]) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| services.contains(&entry.server.service))
    }

    fn is_live(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.server.stay == Stay::Live)
    }

    fn put(&mut self, name: &ServerName, entry: Option<Entry>) -> bool {
        match entry {
            Some(entry) => {
                let old = self.entries.insert(name.clone(), entry.clone());
                old.is_none_or(|old| old.server != entry.server || old.started != entry.started)
            }
            None => self.entries.remove(name).is_some(),
        }
    }

    /// Drops lapsed entries whose servers did not come back. Returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<ServerName> {
        let over = |lapse: &Lapse| now >= lapse.until;
        let names = self.lapses.iter().filter(|(_, lapse)| over(lapse));
        let names: Vec<ServerName> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.lapses.remove(name);
            self.entries.remove(name);
        }
        names
    }
}
