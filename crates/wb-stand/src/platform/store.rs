//! In-memory tables and objects.

use std::collections::BTreeMap;

use bytes::Bytes;
use wb_platform::protocol::Conflicts;
use wb_platform::protocol::Done;
use wb_platform::protocol::Rows;
use wb_platform::protocol::StoredRow;
use wb_platform::protocol::Transaction;

/// Rows of one table.
#[derive(Clone, Debug, Default)]
struct Table {
    version: u64,
    rows: BTreeMap<String, StoredRow>,
}

/// All tables and objects.
#[derive(Clone, Debug, Default)]
pub struct Store {
    version: u64,
    tables: BTreeMap<String, Table>,
    objects: BTreeMap<String, Bytes>,
}

impl Store {
    /// Returns the rows of a table that changed after a version.
    pub fn rows(&self, table: &str, after: u64) -> Rows {
        let Some(table) = self.tables.get(table) else {
            return Rows::default();
        };
        let rows = table.rows.values().filter(|row| row.version > after);
        Rows {
            version: table.version,
            rows: rows.cloned().collect(),
        }
    }

    /// Returns a row.
    pub fn row(&self, table: &str, key: &str) -> Option<&StoredRow> {
        self.tables.get(table)?.rows.get(key)
    }

    /// Commits a transaction if all its checks hold.
    ///
    /// # Errors
    ///
    /// The keys of the rows whose checks failed.
    pub fn transact(&mut self, transaction: Transaction) -> Result<Done, Conflicts> {
        let failed = transaction.checks.iter().filter(|check| {
            let row = self.row(&check.table, &check.key);
            row.map_or(0, |row| row.version) != check.version
        });
        let keys: Vec<String> = failed.map(|check| check.key.clone()).collect();
        if !keys.is_empty() {
            return Err(Conflicts { keys });
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            let table = self.tables.entry(write.table).or_default();
            table.version = version;
            let row = StoredRow {
                key: write.key.clone(),
                version,
                value: write.value,
            };
            table.rows.insert(write.key, row);
        }
        Ok(Done { version })
    }

    /// Stores an object.
    pub fn put_object(&mut self, path: &str, content: Bytes) {
        self.objects.insert(path.to_owned(), content);
    }

    /// Returns an object.
    pub fn object(&self, path: &str) -> Option<Bytes> {
        self.objects.get(path).cloned()
    }

    /// Lists the paths of the objects with a prefix, in order.
    pub fn object_names(&self, prefix: &str) -> Vec<String> {
        let names = self.objects.keys();
        names
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }
}
