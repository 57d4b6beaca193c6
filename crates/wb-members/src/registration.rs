//! The row by which other instances find this one.
//!
//! A write to the platform that gets no answer may be performed seconds later, when its process has ended and
//! another one has registered under the name. Each write thus names the version of the row that it replaces or
//! removes, and has no effect on any other. Instances of older builds remove rows without naming a version, so the
//! row is read again from time to time.

use std::time::Duration;

use wb_types::id::Incarnation;

/// Version of a row in the platform's store; 0 for a row that does not exist.
pub type RowVersion = u64;

/// Delay of the check after the row of another process was replaced: a write of that process may still be under way.
const REPLACED_CHECK_DELAY: Duration = Duration::from_secs(10);
/// Interval between checks otherwise.
const CHECK_INTERVAL: Duration = Duration::from_secs(300);

/// The row under this instance's name, as it was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenRow {
    /// Process that wrote it; `None` if that can't be read.
    pub incarnation: Option<Incarnation>,
    /// Its version.
    pub version: RowVersion,
}

/// What a process knows of the row under its name.
#[derive(Clone, Debug)]
pub struct Registration {
    own: Incarnation,
    seen: Option<SeenRow>,
    /// Whether the row, or that there is none, was read.
    known: bool,
    /// Whether the row of another process was seen since the last check was scheduled.
    replaced: bool,
}

impl Registration {
    /// The state of a process that has read nothing yet. Where the whole system starts for the `first` time, there
    /// is no row to read.
    pub fn new(own: Incarnation, first: bool) -> Self {
        Self {
            own,
            seen: None,
            known: first,
            replaced: false,
        }
    }

    /// Records the row as it was read; `None` if there is none. Returns whether it is that of this process.
    pub fn record(&mut self, row: Option<SeenRow>) -> bool {
        self.known = true;
        self.seen = row;
        self.replaced |= row.is_some() && !self.is_registered();
        self.is_registered()
    }

    /// Whether the row was that of this process when it was last read.
    pub fn is_registered(&self) -> bool {
        self.seen
            .is_some_and(|row| row.incarnation == Some(self.own))
    }

    /// Whether the row has to be read before it is written: a write that names the wrong version takes as long as
    /// any other, and writes wait for each other where many instances start again.
    pub fn must_read(&self) -> bool {
        !self.known
    }

    /// Version that the row must have for this process to write it.
    pub fn replaceable(&self) -> RowVersion {
        self.seen.map_or(0, |row| row.version)
    }

    /// Version that the row must have for this process to remove it; `None` if it is not known as its own.
    pub fn removable(&self) -> Option<RowVersion> {
        let row = self.seen.filter(|_| self.is_registered())?;
        Some(row.version)
    }

    /// Time until the row has to be read again.
    pub fn schedule_check(&mut self) -> Duration {
        if std::mem::take(&mut self.replaced) {
            REPLACED_CHECK_DELAY
        } else {
            CHECK_INTERVAL
        }
    }
}
