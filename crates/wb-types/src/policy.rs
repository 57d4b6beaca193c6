//! Rows of the policy table.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerName;
use crate::id::ClassName;
use crate::id::EditId;
use crate::id::ServiceName;
use crate::id::TableVersion;

/// Key of a row: one service and one class of callers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowKey {
    /// Service that the row applies to.
    pub service: ServiceName,
    /// Class of callers that the row applies to.
    pub class: ClassName,
}

/// Weight and limits of one service for one class of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Service and class.
    pub key: RowKey,
    /// Share of capacity relative to the other classes of the service; at least 1.
    pub weight: u32,
    /// Rate limit in requests per second, across the fleet.
    pub rate: f64,
    /// Limit of concurrent requests, across the fleet.
    pub concurrency: u32,
    /// Limit of waiting requests, across the fleet.
    pub queue: u32,
    /// Maximum wait for a slot.
    pub wait: Duration,
    /// Time after which the caller no longer needs the response.
    pub deadline: Duration,
    /// Healthy capacity of the service below which no server is ejected, in percent of its slots.
    pub floor: u32,
}

/// A caller and its classes, looked up by the digest of the caller's key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRow {
    /// SHA-256 digest of the caller's key, in hex.
    pub digest: String,
    /// Name of the caller.
    pub caller: CallerName,
    /// Classes that the caller may use. If a request names none, the first one that has a row for
    /// the service applies.
    pub classes: Vec<ClassName>,
}

/// Content of a versioned row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// Weight and limits.
    Policy(Row),
    /// A caller.
    Caller(CallerRow),
    /// Tombstone of a deleted policy row.
    Dropped(RowKey),
}

/// A row with the version of the edit that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow {
    /// Version of the edit that wrote the content.
    pub version: TableVersion,
    /// Content of the row.
    pub content: Content,
}

/// All rows that changed after one version, up to and including another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version that the receiver must have already.
    pub after: TableVersion,
    /// Version of the receiver once it has applied the rows.
    pub upto: TableVersion,
    /// Changed rows.
    pub rows: Vec<VersionedRow>,
}

/// An edit of the table, made against a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Id chosen by the editor.
    pub id: EditId,
    /// Version of the table that the editor saw.
    pub base: TableVersion,
    /// Rows to add or replace.
    pub rows: Vec<Row>,
    /// Rows to delete.
    #[serde(default)]
    pub dropped: Vec<RowKey>,
    /// Callers to add or replace.
    #[serde(default)]
    pub callers: Vec<CallerRow>,
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// Committed with this version.
    Accepted(TableVersion),
    /// Refused as a whole: it conflicts with an edit committed earlier, or violates a rule.
    Refused(EditRefusal),
    /// The platform did not confirm the commit; query the edit's id again later.
    Unknown,
}

/// Why an edit was refused.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EditRefusal {
    /// Conflicting rows, as the winning edits left them.
    pub winners: Vec<VersionedRow>,
    /// Rules that the edit violates.
    pub findings: Vec<String>,
}
