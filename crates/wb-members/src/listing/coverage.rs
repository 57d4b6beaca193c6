//! Versions of the platform up to which a table is known, by reads of it and of another table.
//!
//! The platform counts the versions of all tables together, and each response names the newest. A
//! version that is none of the rows of the one table may be a change of the other.

use std::collections::BTreeSet;

use super::ListVersion;

/// Versions of the platform up to which a table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    /// Version up to which no change of the table is missing.
    complete: ListVersion,
    /// Newest version that the platform has named.
    latest: ListVersion,
}

impl Coverage {
    /// Records a read of the table up to a version.
    pub fn record_read(&mut self, version: ListVersion) {
        self.complete = self.complete.max(version);
    }

    /// Records a read of the other table, whose rows changed at `versions` between `after` and
    /// `upto`.
    pub fn record_other(
        &mut self,
        after: ListVersion,
        upto: ListVersion,
        versions: impl Iterator<Item = ListVersion>,
    ) {
        self.latest = self.latest.max(upto);
        if after > self.complete {
            return;
        }
        let versions: BTreeSet<ListVersion> = versions.collect();
        while versions.contains(&(self.complete + 1)) {
            self.complete += 1;
        }
    }

    /// Whether changes of the table may be missing.
    pub fn has_gap(&self) -> bool {
        self.latest > self.complete
    }
}
