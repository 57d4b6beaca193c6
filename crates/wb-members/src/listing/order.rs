//! Order of the rows of one server, whatever way they reach this instance.

use wb_types::id::Moment;
use wb_types::roster::Lifecycle;

use super::ERA_SHIFT;
use super::Entry;
use super::Lifetime;
use super::ListVersion;
use super::RowChange;

/// Newest row of a server, also of one that has left.
#[derive(Clone, Copy, Debug)]
pub struct LastRow {
    started: Lifetime,
    serial: u64,
    lifecycle: Lifecycle,
    version: ListVersion,
    /// When the server left the list; `None` while it is listed.
    pub departed: Option<Moment>,
}

impl LastRow {
    /// The row of a listed server.
    pub fn listed(entry: &Entry, version: ListVersion) -> Self {
        Self {
            started: entry.started,
            serial: entry.serial,
            lifecycle: entry.server.lifecycle,
            version,
            departed: None,
        }
    }

    /// Version of the row, or of its removal.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Records that the row was removed while the server may still register again.
    pub fn lapse(&mut self, version: ListVersion) {
        self.version = self.version.max(version);
    }

    /// Records that the server has left.
    pub fn depart(&mut self, version: ListVersion, now: Moment) {
        self.version = version;
        self.departed = Some(now);
    }

    fn is_other_era(&self, row: &RowChange) -> bool {
        row.version >> ERA_SHIFT != self.version >> ERA_SHIFT
    }

    /// Whether `row` is older than this one. Versions tell the order of processes within an era of the
    /// platform: the start of a process is the time of a clock that may be set. Rows of an older copy
    /// of the platform are of a new era, so that only the starts tell there. A process that is leaving
    /// does not come back: only another one does.
    pub fn outdates(&self, row: &RowChange) -> bool {
        if row.version < self.version {
            return true;
        }
        let Some(entry) = &row.entry else {
            return false;
        };
        if entry.started != self.started {
            return self.is_other_era(row) && entry.started < self.started;
        }
        let takes_back =
            self.lifecycle == Lifecycle::Leaving && entry.server.lifecycle == Lifecycle::Live;
        let repeats = self.departed.is_some() && entry.serial == self.serial;
        takes_back || repeats || entry.serial < self.serial
    }
}
