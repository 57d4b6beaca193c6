//! Decision when the server list has to be read from the platform.
//!
//! Meant for fleets whose servers are replaced all the time, where datagrams are lost and many
//! instances start at once: the time until a change is known must stay below the time for which a
//! server goes on after it has said that it leaves.

use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;
use wb_types::id::Moment;

use super::ListVersion;

/// Share of the bound for which changes are gathered before they are read.
const PAUSE_SHARE: f64 = 0.25;
/// Share of the bound for which the platform may wait for a change.
const POLL_SHARE: f64 = 0.18;
/// Share of the bound after which a list that nobody confirmed is read. The rest is for the call,
/// and for requests that were assigned just before.
const AGE_SHARE: f64 = 0.65;
/// Share of the bound in which an update that was announced may still arrive.
const BEHIND_SHARE: f64 = 0.15;
/// Share of the bound for which a server whose row was removed may be used without a response. With
/// the age of the list it stays below the bound.
const PROOF_SHARE: f64 = 0.2;
/// Share of the bound for which a list may differ from others of its version, since instances drop
/// lapsed entries at different times.
const DIFFERS_SHARE: f64 = 0.4;
/// Ratio of the time after which an instance whose list some others share reads it to that after
/// which one does that is alone with its list.
const SHARED_FACTOR: u32 = 5;
/// Time after the last difference from which lists count as the same: some heartbeats.
const DIFFERENCE_KEEP: Duration = Duration::from_secs(1);
/// Shortest and longest time between two reads because of a difference.
const REREAD_MIN: Duration = Duration::from_secs(2);
const REREAD_MAX: Duration = Duration::from_secs(30);

/// Times of the synchronization of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Pause between two polls of an instance that follows the list.
    pub pause: Duration,
    /// Time for which the platform may wait for changes.
    pub poll: Duration,
    /// Age of the list from which an instance reads it.
    pub max_age: Duration,
    /// Time for which a server whose row was removed may be used without a response.
    pub proof: Duration,
    behind: Duration,
    differs: Duration,
}

impl Times {
    /// Times for which servers that leave get no request later than `bound` after they said so.
    pub fn within(bound: Duration) -> Self {
        Self {
            pause: bound.mul_f64(PAUSE_SHARE),
            poll: bound.mul_f64(POLL_SHARE),
            max_age: bound.mul_f64(AGE_SHARE),
            proof: bound.mul_f64(PROOF_SHARE),
            behind: bound.mul_f64(BEHIND_SHARE),
            differs: bound.mul_f64(DIFFERS_SHARE),
        }
    }
}

/// Call to the platform that was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When it was sent.
    pub begin: Moment,
    /// When its response arrived.
    pub end: Moment,
    /// Time for which the platform has waited for changes, as far as the response shows that.
    pub waited: Duration,
}

impl Call {
    /// Time up to which the response is known to be complete. It may have been on its way since.
    pub fn complete_at(&self) -> Moment {
        (self.begin + self.waited).min(self.end)
    }
}

/// Why the list has to be read.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReadCause {
    /// Nothing has confirmed it for long.
    Age,
    /// Changes are missing.
    Behind,
    /// Other instances have other lists of its version.
    Differs,
}

/// State of a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListState {
    /// Version of the last row that changed it.
    pub version: ListVersion,
    /// Version up to which it is known to be complete.
    pub complete: ListVersion,
    /// Digest of its entries.
    pub digest: u64,
}

impl ListState {
    /// What changes with the entries alone. The version up to which the list is complete grows with all tables
    /// of the platform.
    fn content(&self) -> (ListVersion, u64) {
        (self.version, self.digest)
    }
}

/// What another instance says of its list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Version of the last row that changed it.
    pub version: ListVersion,
    /// Digest of its entries; `None` from builds that send none.
    pub digest: Option<u64>,
    /// When it was confirmed as complete, by this instance's clock.
    pub confirmed: Moment,
}

/// Changes that are missing.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Moment,
    version: ListVersion,
}

/// Lists of the same version that are not the same.
#[derive(Clone, Copy, Debug)]
struct Difference {
    /// Version and digest of this instance's list.
    own: (ListVersion, u64),
    since: Moment,
    last: Moment,
    /// Whether other instances have the same list as this one.
    shared: bool,
}

/// Whether the list is known to be complete, and when it has to be read.
#[derive(Clone, Debug)]
pub struct Freshness {
    times: Times,
    confirmed: Moment,
    backlog: Option<Backlog>,
    difference: Option<Difference>,
    next_reread: Moment,
    reread_wait: Duration,
}

impl Freshness {
    /// A list that was never confirmed.
    pub fn new(times: Times) -> Self {
        Self {
            times,
            confirmed: Moment::ZERO,
            backlog: None,
            difference: None,
            next_reread: Moment::ZERO,
            reread_wait: REREAD_MIN,
        }
    }

    /// Times of the synchronization.
    pub fn times(&self) -> Times {
        self.times
    }

    /// When the list was last known to be complete.
    pub fn confirmed(&self) -> Moment {
        self.confirmed
    }

    /// Records that the list was complete at the time `at`. Returns for how long that was not known;
    /// `None` if it was known already.
    pub fn confirm(&mut self, at: Moment) -> Option<Duration> {
        let gap = at
            .checked_sub(self.confirmed)
            .filter(|gap| !gap.is_zero())?;
        self.confirmed = at;
        Some(gap)
    }

    /// Records that changes up to `version` are missing. Returns whether none were missing before.
    pub fn record_gap(&mut self, version: ListVersion, now: Moment) -> bool {
        let first = self.backlog.is_none();
        let backlog = self.backlog.get_or_insert(Backlog {
            since: now,
            version,
        });
        backlog.version = backlog.version.max(version);
        first
    }

    /// Records what another instance says of its list. Returns whether it is the same as this one.
    pub fn compare(&mut self, own: ListState, other: Announcement, now: Moment) -> bool {
        if other.version > own.version.max(own.complete) {
            self.record_gap(other.version, now);
        }
        let same = match other.digest {
            Some(digest) => digest == own.digest,
            None => other.version == own.version,
        };
        if !same && other.version != own.version {
            return false;
        }
        let content = own.content();
        let known = self.difference.filter(|known| known.own == content);
        if same {
            self.difference = known.map(|known| Difference {
                shared: true,
                ..known
            });
            return true;
        }
        let known = known.unwrap_or(Difference {
            own: content,
            since: now,
            last: now,
            shared: false,
        });
        self.difference = Some(Difference { last: now, ..known });
        false
    }

    /// Records that the list was read because of a difference: if that did not help, the next time
    /// is later.
    pub fn record_reread(&mut self, now: Moment) {
        self.difference = None;
        self.next_reread = now + self.reread_wait;
        self.reread_wait = (self.reread_wait * 2).min(REREAD_MAX);
    }

    /// Earliest time at which the list may have to be read, unless it is confirmed before.
    pub fn next_read(&self) -> Moment {
        let aged = self.confirmed + self.times.max_age;
        let backlog = self
            .backlog
            .map(|backlog| backlog.since + self.times.behind);
        let difference = self
            .difference
            .map(|known| known.since + self.times.differs);
        let due = [Some(aged), backlog, difference].into_iter().flatten();
        due.min().unwrap_or(aged)
    }

    /// Why the list has to be read now; `None` if it needn't be.
    pub fn read_cause(&mut self, own: ListState, now: Moment) -> Option<ReadCause> {
        let complete = own.version.max(own.complete);
        self.backlog = self.backlog.filter(|backlog| backlog.version > complete);
        let lasts = |difference: &Difference| {
            difference.own == own.content() && now < difference.last + DIFFERENCE_KEEP
        };
        self.difference = self.difference.filter(lasts);
        if self.difference.is_none() && now > self.next_reread + REREAD_MAX {
            self.reread_wait = REREAD_MIN;
        }
        let overdue = |backlog: &Backlog| now >= backlog.since + self.times.behind;
        if self.backlog.as_ref().is_some_and(overdue) {
            return Some(ReadCause::Behind);
        }
        if now >= self.confirmed + self.times.max_age {
            return Some(ReadCause::Age);
        }
        let difference = self.difference.filter(|_| now >= self.next_reread)?;
        let factor = if difference.shared { SHARED_FACTOR } else { 1 };
        (now >= difference.since + self.times.differs * factor).then_some(ReadCause::Differs)
    }
}
