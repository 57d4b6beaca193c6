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
    /// Service the row is about.
    pub service: ServiceName,
    /// Class of callers the row is about.
    pub class: ClassName,
}

/// Weights and limits of one service for one class of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Service and class.
    pub key: RowKey,
    /// Share of capacity against the other classes of the service; at least 1.
    pub weight: u32,
    /// Requests a second, fleet-wide.
    pub rate: f64,
    /// Requests in progress at a time, fleet-wide.
    pub concurrency: u32,
    /// Requests waiting at a time, fleet-wide.
    pub queue: u32,
    /// Longest wait for a slot.
    pub wait: Duration,
    /// Time after which an answer has no worth.
    pub deadline: Duration,
    /// Healthy capacity of the service below which nothing is ejected, in percent of its slots.
    pub floor: u32,
}

/// A caller and its class, found by the digest of the caller's key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRow {
    /// SHA-256 of the caller's key, in hex.
    pub digest: String,
    /// Name of the caller.
    pub caller: CallerName,
    /// Classes that the caller may use; the first is its own.
    pub classes: Vec<ClassName>,
}

/// What a versioned row holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// Weights and limits.
    Policy(Row),
    /// A caller's key.
    Caller(CallerRow),
    /// The policy row was deleted.
    Dropped(RowKey),
}

/// A row and the version of the edit that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow {
    /// Version of the edit that wrote the content.
    pub version: TableVersion,
    /// The row.
    pub content: Content,
}

/// All rows that changed after one version, up to and with another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version that the receiver has to have.
    pub after: TableVersion,
    /// Version that the receiver has once it has applied the rows.
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
    /// Version that the editor saw.
    pub base: TableVersion,
    /// Rows as they are to be.
    pub rows: Vec<Row>,
    /// Rows to delete.
    #[serde(default)]
    pub dropped: Vec<RowKey>,
    /// Callers to add or change.
    #[serde(default)]
    pub callers: Vec<CallerRow>,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// In force from this version on.
    Accepted(TableVersion),
    /// Refused whole: another edit won these rows, or the edit breaks a rule.
    Refused(EditRefusal),
    /// The platform did not say; read the edit's id back later.
    Unknown,
}

/// Why an edit was refused.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EditRefusal {
    /// Rows as the winning edits left them.
    pub winners: Vec<VersionedRow>,
    /// Rules that the edit breaks.
    pub findings: Vec<String>,
}
