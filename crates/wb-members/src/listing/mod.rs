//! The platform's list of backend servers, as one instance holds it.
//!
//! The platform also removes entries of servers that could not reach it during its own outage. Such
//! lapsed entries are kept until their servers have had time to register again. Whether a removed
//! entry has lapsed or its server has left, only the server can tell: until it has responded without
//! saying that it is leaving, the entry is in doubt.
//!
//! Instances send each other the changes of the list. Each such update names the version that it
//! follows, so that a lost update is noticed. [`freshness`] decides when the list is read from the
//! platform instead.

pub mod coverage;
mod digest;
pub mod doubts;
pub mod freshness;
mod order;
mod parts;
mod statements;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

use digest::Digest;
use doubts::DoubtCause;
use doubts::Doubts;
use freshness::ListState;
use order::LastRow;
use parts::PartialUpdates;
use statements::Statements;

/// Time after the end of an outage in which servers register again: two seconds by the platform's
/// documentation, plus some for the transfer.
const REREGISTER_TIME: Duration = Duration::from_millis(2300);
/// Time before a lapsed entry is dropped at which the rows are read once more.
const RECHECK_TIME: Duration = Duration::from_millis(150);
/// Time for which the last entry of a server that has left is remembered: longer than the platform
/// goes back, and than it keeps the row of a server that is gone.
const DEPARTED_KEEP: Duration = Duration::from_secs(60);
/// Longest time for which a lapsed entry is kept while the platform stays unavailable.
const LAPSE_MAX: Duration = Duration::from_secs(20);
/// Time after the start of a failed call in which a removed entry counts as lapsed. The start is
/// used because a failure may show only long after the platform is back.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// Start of a server's process, in milliseconds since the Unix epoch; 0 if unknown.
pub type Lifetime = u64;

/// Number of an update, chosen at random by its sender.
pub type UpdateId = u64;

/// Version of the platform's rows. It never goes back, even if the platform does: the bits from
/// [`ERA_SHIFT`] on count how often the platform came back from an older copy of itself.
pub type ListVersion = u64;

/// Number of the bits of a version that tell the order of rows within an era of the platform.
pub const ERA_SHIFT: u32 = 48;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The server.
    pub server: Server,
    /// Time until the server has warmed up.
    pub warmup: Duration,
    /// Start of its process.
    pub started: Lifetime,
    /// Number of the entry among those that the process has written.
    pub serial: u64,
}

/// A row that was written or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowChange {
    /// Name of the server.
    pub name: ServerName,
    /// Version of the row.
    pub version: ListVersion,
    /// The new entry; `None` if the row was removed or names no server.
    pub entry: Option<Entry>,
}

/// Some of the changes between two versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// Version that the changes follow.
    pub after: ListVersion,
    /// Version that they lead to.
    pub upto: ListVersion,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the update.
    pub parts: u32,
    /// The changes.
    pub changes: Vec<RowChange>,
    /// Tells the parts of this update from those of others; 0 from builds that send none.
    #[serde(deserialize_with = "wb_types::wire::or_default")]
    pub id: UpdateId,
}

/// Result of an update of another instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// Changes before the update are missing; it was not applied.
    Gap,
    /// The list is newer than what the update leads to; it was not applied.
    Outdated,
    /// The update was applied.
    Changes {
        /// Rows that changed the list.
        changed: Vec<RowChange>,
        /// Whether the update is complete and leads to a newer version than the list had.
        advanced: bool,
    },
}

/// A removal that is deferred.
#[derive(Clone, Debug)]
struct Lapse {
    until: Moment,
    version: ListVersion,
    /// Whether the rows were read once more, shortly before the entry is dropped.
    rechecked: bool,
}

/// The list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Version up to which the platform's rows were read.
    read_version: Option<ListVersion>,
    /// Version of the last row that changed the list. It is the same on all instances that hold the
    /// same list.
    content_version: ListVersion,
    entries: BTreeMap<ServerName, Entry>,
    digest: Digest,
    lapses: BTreeMap<ServerName, Lapse>,
    /// Lapses that [`Listing::take_lapsed`] has not returned yet.
    new_lapses: Vec<(ServerName, ListVersion)>,
    /// Newest row of each server, also of those that have left.
    last_rows: BTreeMap<ServerName, LastRow>,
    last_failure: Option<Moment>,
    partial: PartialUpdates,
    statements: Statements,
    /// Time for which a server whose row was removed may be used without a response.
    proof_time: Duration,
    doubts: Doubts,
    /// Servers in doubt that are not used for now.
    set_aside: BTreeSet<ServerName>,
}

impl Listing {
    /// An empty list. Servers whose rows were removed are used for `proof_time` more unless they
    /// respond.
    pub fn new(proof_time: Duration) -> Self {
        Self {
            proof_time,
            ..Self::default()
        }
    }

    /// Version up to which the platform's rows were read; `None` before the first list.
    pub fn read_version(&self) -> Option<ListVersion> {
        self.read_version
    }

    /// Version of the last row that changed the list; `None` before the first list.
    pub fn content_version(&self) -> Option<ListVersion> {
        self.read_version.map(|_| self.content_version)
    }

    /// Digest of the entries: lists with the same version and different digests differ.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// State of the list, to compare it with that of other instances.
    pub fn state(&self) -> ListState {
        ListState {
            version: self.content_version,
            complete: self.read_version.unwrap_or(0),
            digest: self.digest(),
        }
    }

    /// Version of the newest known row of a listed server.
    pub fn row_version(&self, name: &str) -> Option<ListVersion> {
        self.last_rows.get(name).map(LastRow::version)
    }

    /// Number of entries that the platform has removed and that are kept for now.
    pub fn lapsed_count(&self) -> usize {
        self.lapses.len()
    }

    /// Removals that were deferred since the last call of this method: servers and versions.
    pub fn take_lapsed(&mut self) -> Vec<(ServerName, ListVersion)> {
        std::mem::take(&mut self.new_lapses)
    }

    /// All entries, lapsed ones included.
    pub fn entries(&self) -> &BTreeMap<ServerName, Entry> {
        &self.entries
    }

    /// All servers, in the state that their rows and their own responses tell.
    pub fn servers(&self) -> impl Iterator<Item = (&Entry, Lifecycle)> {
        self.entries.values().map(|entry| {
            let server = &entry.server;
            let says = self.statements.is_leaving(&server.name, entry.started);
            let lifecycle = if says || self.set_aside.contains(&server.name) {
                Lifecycle::Leaving
            } else {
                server.lifecycle
            };
            (entry, lifecycle)
        })
    }

    /// Records that a server responded to a request that was sent at `sent`, and did not say that it
    /// is leaving. Returns whether that was in doubt.
    pub fn record_response(&mut self, server: &str, sent: Moment) -> bool {
        self.doubts.resolve(server, sent)
    }

    /// Listed servers whose entries are in doubt.
    pub fn doubted(&self) -> impl Iterator<Item = (&Entry, DoubtCause)> {
        let doubts = self.doubts.all();
        doubts.filter_map(|(server, cause)| Some((self.entries.get(server)?, cause)))
    }

    /// Decides which servers in doubt are not used for now. Returns whether that has changed. If all
    /// servers of a service may have lapsed, that is more likely than that all have left.
    pub fn update_doubts(&mut self, now: Moment) -> bool {
        let lapses = &self.lapses;
        self.doubts
            .expire(|server| lapses.contains_key(server), now);
        if self.doubts.is_empty() {
            return !std::mem::take(&mut self.set_aside).is_empty();
        }
        let doubted: BTreeSet<&ServerName> = self.doubts.all().map(|(server, _)| server).collect();
        let live = self.entries.values().map(|entry| &entry.server);
        let live = live.filter(|server| server.lifecycle == Lifecycle::Live);
        let certain = live.filter(|server| !doubted.contains(&server.name));
        let certain: BTreeSet<&ServiceName> = certain.map(|server| &server.service).collect();
        let is_replaceable = |server: &ServerName| {
            let entry = self.entries.get(server);
            entry.is_some_and(|entry| certain.contains(&entry.server.service))
        };
        let set_aside = self.doubts.set_aside(now);
        let set_aside = set_aside
            .filter(|(server, cause)| *cause == DoubtCause::Restarted || is_replaceable(server))
            .map(|(server, _)| server.clone());
        let set_aside: BTreeSet<ServerName> = set_aside.collect();
        let changed = set_aside != self.set_aside;
        self.set_aside = set_aside;
        changed
    }

    /// Whether the rows have to be read once more before lapsed entries are dropped.
    pub fn recheck_due(&mut self, now: Moment) -> bool {
        let due = |lapse: &Lapse| !lapse.rechecked && now + RECHECK_TIME >= lapse.until;
        let mut any = false;
        for lapse in self.lapses.values_mut().filter(|lapse| due(lapse)) {
            lapse.rechecked = true;
            any = true;
        }
        any
    }

    /// Start of the process of a listed server.
    pub fn lifetime(&self, server: &str) -> Option<Lifetime> {
        self.entries.get(server).map(|entry| entry.started)
    }

    /// Records that a server said in a response that it is leaving, while a process of it was listed
    /// that started at `lifetime`. Returns whether that is news.
    pub fn record_leaving(&mut self, server: &ServerName, lifetime: Lifetime, now: Moment) -> bool {
        let news = self.statements.record(server, lifetime, now);
        match self.lifetime(server) {
            Some(listed) if listed != lifetime => self.doubts.raise_restarted(server, now),
            _ => self.doubts.clear(server),
        }
        news
    }

    /// Servers that have said in a response that they are leaving.
    pub fn leaving_servers(&self) -> Vec<(ServerName, Lifetime)> {
        self.statements.all()
    }

    /// Records that a platform call that started at `start` failed: entries that are removed now
    /// may have lapsed.
    pub fn record_failure(&mut self, start: Moment, now: Moment) {
        self.last_failure = self.last_failure.max(Some(start));
        for lapse in self.lapses.values_mut() {
            lapse.until = now + LAPSE_MAX;
            lapse.rechecked = false;
        }
    }

    /// Records that a platform call succeeded: servers register again from now on.
    pub fn record_success(&mut self, now: Moment) {
        for lapse in self.lapses.values_mut() {
            lapse.until = lapse.until.min(now + REREGISTER_TIME);
        }
    }

    /// Replaces the list by all rows of the platform, and ignores those that are older than what is
    /// known of their servers. Returns the changes.
    pub fn replace(
        &mut self,
        read_version: ListVersion,
        rows: Vec<RowChange>,
        now: Moment,
    ) -> Vec<RowChange> {
        let known: BTreeSet<&ServerName> = rows.iter().map(|row| &row.name).collect();
        let removed = self.entries.keys().filter(|name| !known.contains(*name));
        let mut changes: Vec<RowChange> = removed
            .map(|name| RowChange {
                name: name.clone(),
                version: read_version,
                entry: None,
            })
            .collect();
        let newest = rows.iter().map(|row| row.version).max();
        changes.extend(rows);
        self.read_version = self.read_version.max(Some(read_version));
        let changed = self.apply_rows(changes, now);
        self.content_version = self.content_version.max(newest.unwrap_or(0));
        changed
    }

    /// Applies rows that the platform changed since the read version. Returns those that changed
    /// the list.
    pub fn apply(
        &mut self,
        read_version: ListVersion,
        changes: Vec<RowChange>,
        now: Moment,
    ) -> Vec<RowChange> {
        self.read_version = self.read_version.max(Some(read_version));
        self.apply_rows(changes, now)
    }

    /// Applies changes that another instance sent.
    pub fn apply_update(&mut self, update: Update, now: Moment) -> Applied {
        if self.read_version.is_none() || update.after > self.content_version {
            return Applied::Gap;
        }
        if update.upto < self.content_version {
            return Applied::Outdated;
        }
        let advanced = self.partial.record(&update) && update.upto > self.content_version;
        let mut changed = Vec::new();
        for change in update.changes {
            if self.is_outdated(&change) {
                continue;
            }
            self.lapses.remove(&change.name);
            if self.upsert(&change, now) {
                changed.push(change);
            }
        }
        if advanced {
            self.content_version = update.upto;
            self.read_version = self.read_version.max(Some(update.upto));
        }
        Applied::Changes { changed, advanced }
    }

    fn apply_rows(&mut self, changes: Vec<RowChange>, now: Moment) -> Vec<RowChange> {
        let last_failure = self.last_failure;
        let in_outage = last_failure.is_some_and(|at| now.saturating_sub(at) < OUTAGE_WINDOW);
        let mut changed = Vec::new();
        for change in changes {
            if self.is_outdated(&change) {
                continue;
            }
            if change.entry.is_none() && in_outage && self.is_live(&change.name) {
                // The platform has just answered, so servers can reach it as well.
                let lapse = Lapse {
                    until: now + REREGISTER_TIME,
                    version: change.version,
                    rechecked: false,
                };
                self.doubts.raise_lapsed(&change.name, self.proof_time, now);
                if let Some(last) = self.last_rows.get_mut(&change.name) {
                    last.lapse(change.version);
                }
                self.new_lapses.push((change.name.clone(), change.version));
                self.lapses.entry(change.name).or_insert(lapse);
                continue;
            }
            self.lapses.remove(&change.name);
            if self.upsert(&change, now) {
                self.content_version = self.content_version.max(change.version);
                changed.push(change);
            }
        }
        changed
    }

    fn is_outdated(&self, row: &RowChange) -> bool {
        let last = self.last_rows.get(&row.name);
        last.is_some_and(|last| last.outdates(row))
    }

    /// Removes a server. Returns whether it was listed.
    fn remove(&mut self, name: &ServerName, version: ListVersion, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(name) else {
            return false;
        };
        self.digest.toggle(&entry);
        self.doubts.clear(name);
        if let Some(last) = self.last_rows.get_mut(name) {
            last.depart(version, now);
        }
        true
    }

    fn is_live(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.server.lifecycle == Lifecycle::Live)
    }

    fn upsert(&mut self, change: &RowChange, now: Moment) -> bool {
        let Some(entry) = &change.entry else {
            return self.remove(&change.name, change.version, now);
        };
        let last = LastRow::listed(entry, change.version);
        self.last_rows.insert(change.name.clone(), last);
        let old = self.entries.insert(change.name.clone(), entry.clone());
        self.digest.toggle(entry);
        if let Some(old) = &old {
            self.digest.toggle(old);
        }
        let restarted = old.as_ref().is_none_or(|old| old.started != entry.started);
        // The process that said so may have been this one, whose row has come late.
        if restarted && self.statements.is_ambiguous(&change.name, entry.started) {
            self.doubts.raise_restarted(&change.name, now);
        }
        restarted || old.is_some_and(|old| old.server != entry.server)
    }

    /// Drops lapsed entries whose servers did not register again in time, and what is remembered of
    /// servers that left long ago. Returns the changes.
    pub fn expire(&mut self, now: Moment) -> Vec<RowChange> {
        let is_recent = |at| now.saturating_sub(at) < DEPARTED_KEEP;
        self.last_rows
            .retain(|_, last| last.departed.is_none_or(is_recent));
        let entries = &self.entries;
        let listed = |server: &str| entries.get(server).map(|entry| entry.started);
        self.statements.expire(listed, now);
        let expired = self.lapses.iter().filter(|(_, lapse)| now >= lapse.until);
        let expired: Vec<RowChange> = expired
            .map(|(name, lapse)| RowChange {
                name: name.clone(),
                version: lapse.version,
                entry: None,
            })
            .collect();
        for change in &expired {
            self.lapses.remove(&change.name);
            self.remove(&change.name, change.version, now);
            self.content_version = self.content_version.max(change.version);
        }
        expired
    }
}
