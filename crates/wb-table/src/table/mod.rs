//! Rows of the policy table that are in force.

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

/// A policy row and the version that wrote it; `None` once the row was deleted.
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

/// The policy table of an instance. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: TableVersion,
    rows: BTreeMap<RowKey, Entry>,
    callers: HashMap<String, CallerEntry>,
    /// Number of rows of each service.
    services: HashMap<ServiceName, u32>,
    /// Rows in force that are newer than the version.
    newer_rows: Vec<VersionedRow>,
}
