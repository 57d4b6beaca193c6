//! Rows in force at one version.

mod access;
mod apply;

use std::collections::BTreeMap;
use std::collections::HashMap;

use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::policy::CallerRow;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

pub use apply::ApplyOutcome;

/// A policy row and the version that wrote it; no row once it is deleted.
#[derive(Clone, Debug, Default)]
struct Entry {
    version: TableVersion,
    row: Option<Row>,
}

/// A caller's row and the version that wrote it.
#[derive(Clone, Debug)]
struct CallerEntry {
    version: TableVersion,
    row: CallerRow,
}

/// The rows that an instance decides by. Its version never falls.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: TableVersion,
    rows: BTreeMap<RowKey, Entry>,
    callers: HashMap<String, CallerEntry>,
    services: HashMap<ServiceName, u32>,
    newer_rows: Vec<VersionedRow>,
}
