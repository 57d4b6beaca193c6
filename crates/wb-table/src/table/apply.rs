//! Application of deltas and single rows.

use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::VersionedRow;

use super::CallerEntry;
use super::Entry;
use crate::Table;

/// Result of [`Table::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The table now has the version of the delta.
    Updated,
    /// The table already has the version of the delta or a higher one.
    AlreadyApplied,
    /// The delta starts after a higher version than the table's; changes between are missing.
    Gap,
}

impl Table {
    /// Applies a delta as a whole. Neither the table's version nor that of a row ever decreases, so
    /// that a delta that is late, repeated or read from a stale replica changes nothing.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        if delta.after > self.version {
            return ApplyOutcome::Gap;
        }
        if delta.upto <= self.version {
            return ApplyOutcome::AlreadyApplied;
        }
        for row in &delta.rows {
            self.put(row);
        }
        self.version = delta.upto;
        self.newer_rows.retain(|row| row.version > delta.upto);
        ApplyOutcome::Updated
    }

    /// Puts the rows of a committed edit in force before the edits between the table's version and
    /// it are known. The table's version stays. Returns whether any row was new.
    pub fn apply_early(&mut self, rows: &[VersionedRow]) -> bool {
        let mut changed = false;
        for row in rows {
            let known = self.newer_rows.contains(row);
            if row.version <= self.version || known {
                continue;
            }
            self.put(row);
            self.newer_rows.push(row.clone());
            changed = true;
        }
        changed
    }

    fn put(&mut self, row: &VersionedRow) {
        match &row.content {
            Content::Policy(policy) => {
                let entry = Entry {
                    version: row.version,
                    row: Some(policy.clone()),
                };
                self.put_policy(policy.key.clone(), entry);
            }
            Content::Dropped(key) => {
                let entry = Entry {
                    version: row.version,
                    row: None,
                };
                self.put_policy(key.clone(), entry);
            }
            Content::Caller(caller) => self.put_caller(row.version, caller.clone()),
        }
    }

    fn put_policy(&mut self, key: wb_types::policy::RowKey, entry: Entry) {
        let old = self.rows.entry(key.clone()).or_default();
        if entry.version <= old.version {
            return;
        }
        let had = old.row.is_some();
        let has = entry.row.is_some();
        *old = entry;
        match (had, has) {
            (false, true) => *self.services.entry(key.service).or_default() += 1,
            (true, false) => self.remove_service_row(&key.service),
            _ => {}
        }
    }

    fn remove_service_row(&mut self, service: &ServiceName) {
        let Some(count) = self.services.get_mut(service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.services.remove(service);
        }
    }

    fn put_caller(&mut self, version: TableVersion, row: wb_types::policy::CallerRow) {
        let old = self.callers.get(&row.digest);
        if old.is_some_and(|old| old.version >= version) {
            return;
        }
        self.callers
            .insert(row.digest.clone(), CallerEntry { version, row });
    }
}
