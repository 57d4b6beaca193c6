//! Read access to the table.

use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::outcome::Reason;
use wb_types::policy::CallerRow;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

use crate::Table;

impl Table {
    /// Version of the table; 0 before the first delta.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Policy row of a key.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownClass`] if the service has only rows of other classes,
    /// [`Reason::UnknownService`] if it has none.
    pub fn row(&self, key: &RowKey) -> Result<&Row, Reason> {
        let found = self.rows.get(key).and_then(|entry| entry.row.as_ref());
        match found {
            Some(row) => Ok(row),
            None if self.services.contains_key(&key.service) => Err(Reason::UnknownClass),
            None => Err(Reason::UnknownService),
        }
    }

    /// Highest version among the table and the rows in force.
    pub fn newest_version(&self) -> TableVersion {
        let extra = self.newer_rows.iter().map(|row| row.version).max();
        extra.unwrap_or(0).max(self.version)
    }

    /// Rows in force that are newer than the table's version.
    pub fn newer_rows(&self) -> &[VersionedRow] {
        &self.newer_rows
    }

    /// Version that last changed the row of a key; 0 if there was none.
    pub fn row_version(&self, key: &RowKey) -> TableVersion {
        self.rows.get(key).map_or(0, |entry| entry.version)
    }

    /// All policy rows in force, in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter_map(|entry| entry.row.as_ref())
    }

    /// Capacity floor of a service in percent: the highest among its rows, 0 without rows.
    pub fn floor_percent(&self, service: &str) -> u32 {
        self.rows()
            .filter(|row| &*row.key.service == service)
            .map(|row| row.floor)
            .max()
            .unwrap_or(0)
    }

    /// Row of the caller whose key has this digest.
    pub fn caller(&self, digest: &str) -> Option<&CallerRow> {
        self.callers.get(digest).map(|entry| &entry.row)
    }

    /// Number of callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Row that applies to a caller's requests for a service: the row of the requested class if
    /// the caller may use it, or without a requested class that of the first of the caller's
    /// classes that has a row.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownService`], or [`Reason::UnknownClass`] if there is no such class or the
    /// caller may not use it.
    pub fn row_for(
        &self,
        caller: &CallerRow,
        service: &ServiceName,
        requested: Option<&str>,
    ) -> Result<&Row, Reason> {
        let mut error = Reason::UnknownClass;
        for class in &caller.classes {
            if requested.is_some_and(|name| name != &**class) {
                continue;
            }
            let key = RowKey {
                service: service.clone(),
                class: class.clone(),
            };
            match self.row(&key) {
                Ok(row) => return Ok(row),
                Err(reason) => error = reason,
            }
        }
        Err(error)
    }

    /// All rows that changed after a version, as a delta to the table's version.
    pub fn delta_since(&self, after: TableVersion) -> Delta {
        let policies = self.rows.iter().map(|(key, entry)| VersionedRow {
            version: entry.version,
            content: match &entry.row {
                Some(row) => Content::Policy(row.clone()),
                None => Content::Dropped(key.clone()),
            },
        });
        let callers = self.callers.values().map(|entry| VersionedRow {
            version: entry.version,
            content: Content::Caller(entry.row.clone()),
        });
        Delta {
            after,
            upto: self.version,
            rows: policies
                .chain(callers)
                .filter(|row| row.version > after)
                .collect(),
        }
    }
}
