//! Taking changed rows.

use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::VersionedRow;

use super::CallerEntry;
use super::Entry;
use crate::Table;

/// What applying a delta did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The table is at a higher version now.
    Updated,
    /// The table had all of it already.
    AlreadyApplied,
    /// The delta starts after a version that the table does not have.
    Gap,
}

impl Table {
    /// Applies a delta as a whole. Rows and the version only ever rise, so that a delta that is
    /// late, repeated or read from a stale replica changes nothing.
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

    /// Takes rows of a committed edit before the edits that came between are known: the rows
    /// are in force, the version stays. Gives whether any row was new.
    pub fn apply_early(&mut self, rows: &[VersionedRow]) -> bool {
        let mut raised = false;
        for row in rows {
            let known = self.newer_rows.contains(row);
            if row.version <= self.version || known {
                continue;
            }
            self.put(row);
            self.newer_rows.push(row.clone());
            raised = true;
        }
        raised
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
            (true, false) => self.forget(&key.service),
            _ => {}
        }
    }

    fn forget(&mut self, service: &ServiceName) {
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
