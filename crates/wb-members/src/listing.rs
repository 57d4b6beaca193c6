//! The platform's list of backend servers, as one instance holds it.
//!
//! Entries also vanish because the platform was away and could not hear the servers. Such entries
//! are kept until their servers had time to register again.
//!
//! Instances tell each other what changed. Each such update names the version that it follows on,
//! so that one that was lost is noticed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Time after the platform's return in which servers register again: two seconds by its
/// documentation, and some for the way.
const RETURN: Duration = Duration::from_millis(2300);
/// Longest time that a lapsed entry is kept while the platform stays away.
const KEEP_MAX: Duration = Duration::from_secs(20);
/// Time after the begin of a failed call in which a vanished entry counts as lapsed. A failure may
/// show only long after the platform is back, so that its own moment says little.
const AWAY: Duration = Duration::from_secs(3);

/// Version of the platform's rows.
pub type ListVersion = u64;

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The server.
    pub server: Server,
    /// How long the server stays slow after its start.
    pub warmup: Duration,
    /// Start of its process, in milliseconds of the time of day; 0 if it does not say.
    pub started: u64,
}

/// A row that was written or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowChange {
    /// Name of the server.
    pub name: ServerName,
    /// Version of the row.
    pub version: ListVersion,
    /// Its entry; `None` if it vanished or names no server.
    pub entry: Option<Entry>,
}

/// Part of the changes between two versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// Version that the changes follow on.
    pub after: ListVersion,
    /// Version that they lead to.
    pub upto: ListVersion,
    /// Number of this part, from 0.
    pub part: u32,
    /// Parts of the update.
    pub parts: u32,
    /// The changes.
    pub changes: Vec<RowChange>,
}

/// Why an entry is kept although it vanished.
#[derive(Clone, Debug)]
struct Lapse {
    until: Moment,
    version: ListVersion,
}

/// Parts of an update that have come.
#[derive(Clone, Debug, Default)]
struct Parts {
    upto: ListVersion,
    seen: BTreeSet<u32>,
}

/// The list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Version up to which the platform was read.
    mark: Option<ListVersion>,
    /// Version of the last row that made a difference. It is the same on all instances that hold
    /// the same list.
    state: ListVersion,
    entries: BTreeMap<ServerName, Entry>,
    lapses: BTreeMap<ServerName, Lapse>,
    failed: Option<Moment>,
    parts: Parts,
}

impl Listing {
    /// Version up to which the platform was read; `None` before the first list.
    pub fn read_version(&self) -> Option<ListVersion> {
        self.mark
    }

    /// Version of the last row that made a difference; `None` before the first list.
    pub fn content_version(&self) -> Option<ListVersion> {
        self.mark.map(|_| self.state)
    }

    /// All entries, those that are kept included.
    pub fn entries(&self) -> &BTreeMap<ServerName, Entry> {
        &self.entries
    }

    /// A call of the platform that began at `begin` failed: entries may lapse.
    pub fn record_failure(&mut self, begin: Moment, now: Moment) {
        self.failed = self.failed.max(Some(begin));
        for lapse in self.lapses.values_mut() {
            lapse.until = now + KEEP_MAX;
        }
    }

    /// A call of the platform was answered: servers register again from now on.
    pub fn record_answer(&mut self, now: Moment) {
        for lapse in self.lapses.values_mut() {
            lapse.until = lapse.until.min(now + RETURN);
        }
    }

    /// Takes the whole list as the platform has it. Returns what changed.
    pub fn replace(
        &mut self,
        mark: ListVersion,
        rows: Vec<RowChange>,
        now: Moment,
    ) -> Vec<RowChange> {
        let known: BTreeSet<&ServerName> = rows.iter().map(|row| &row.name).collect();
        let vanished = self.entries.keys().filter(|name| !known.contains(*name));
        let mut changes: Vec<RowChange> = vanished
            .map(|name| RowChange {
                name: name.clone(),
                version: mark,
                entry: None,
            })
            .collect();
        let newest = rows.iter().map(|row| row.version).max();
        changes.extend(rows);
        self.mark = Some(mark);
        let changed = self.take(changes, now);
        self.state = self.state.max(newest.unwrap_or(0));
        changed
    }

    /// Takes changes that the platform told since the mark. Returns what made a difference.
    pub fn apply(
        &mut self,
        mark: ListVersion,
        changes: Vec<RowChange>,
        now: Moment,
    ) -> Vec<RowChange> {
        self.mark = self.mark.max(Some(mark));
        self.take(changes, now)
    }

    /// Takes changes that another instance told. Returns what made a difference, or `None` if
    /// changes before them are missing.
    pub fn apply_update(&mut self, update: Update) -> Option<Vec<RowChange>> {
        self.mark?;
        if update.after > self.state {
            return None;
        }
        if update.upto < self.state {
            return Some(Vec::new());
        }
        let mut changed = Vec::new();
        for change in update.changes {
            self.lapses.remove(&change.name);
            if self.put(&change) {
                changed.push(change);
            }
        }
        if self.parts.upto != update.upto {
            self.parts = Parts {
                upto: update.upto,
                seen: BTreeSet::new(),
            };
        }
        self.parts.seen.insert(update.part);
        if self.parts.seen.len() >= update.parts as usize {
            self.state = update.upto;
        }
        Some(changed)
    }

    fn take(&mut self, changes: Vec<RowChange>, now: Moment) -> Vec<RowChange> {
        let failed = self.failed;
        let away = failed.is_some_and(|at| now.saturating_sub(at) < AWAY);
        let mut changed = Vec::new();
        for change in changes {
            if change.entry.is_none() && away && self.is_live(&change.name) {
                // The platform has just been read, so that servers can reach it as well.
                let lapse = Lapse {
                    until: now + RETURN,
                    version: change.version,
                };
                self.lapses.entry(change.name).or_insert(lapse);
                continue;
            }
            self.lapses.remove(&change.name);
            if self.put(&change) {
                self.state = self.state.max(change.version);
                changed.push(change);
            }
        }
        changed
    }

    fn is_live(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.server.lifecycle == Lifecycle::Live)
    }

    fn put(&mut self, change: &RowChange) -> bool {
        let Some(entry) = &change.entry else {
            return self.entries.remove(&change.name).is_some();
        };
        let old = self.entries.insert(change.name.clone(), entry.clone());
        old.is_none_or(|old| old.server != entry.server || old.started != entry.started)
    }

    /// Drops lapsed entries whose servers did not come back. Returns what changed.
    pub fn expire(&mut self, now: Moment) -> Vec<RowChange> {
        let over = self.lapses.iter().filter(|(_, lapse)| now >= lapse.until);
        let over: Vec<RowChange> = over
            .map(|(name, lapse)| RowChange {
                name: name.clone(),
                version: lapse.version,
                entry: None,
            })
            .collect();
        for change in &over {
            self.lapses.remove(&change.name);
            self.entries.remove(&change.name);
            self.state = self.state.max(change.version);
        }
        over
    }
}
