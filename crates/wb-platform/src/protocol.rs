//! Messages of the platform's published protocol, JSON over HTTP.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/tables/{table}?after={version}` | [`Rows`]: rows changed after a version |
//! | `GET /v1/tables/{table}/{key}` | [`StoredRow`], or 404 |
//! | `POST /v1/transactions` with a [`Transaction`] | [`Done`], or 409 with [`Conflicts`] |
//! | `GET`, `PUT /v1/objects/{path}` | the object, or 404 |
//! | `GET /v1/objects?prefix={prefix}` | [`Names`] |
//! | `GET /v1/list` | the list of instances and backend servers |

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// A row as the table service stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredRow {
    /// Key of the row.
    pub key: String,
    /// Version of the transaction that wrote it. Versions increase across all tables.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// Rows of a table that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rows {
    /// Version of the last transaction that wrote to the table.
    pub version: u64,
    /// The rows.
    pub rows: Vec<StoredRow>,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Required version; 0 if the row must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// New content of the row.
    pub value: Value,
}

/// Writes that are committed atomically if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Response to a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Done {
    /// Version of the transaction.
    pub version: u64,
}

/// Response to a transaction whose checks failed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Conflicts {
    /// Keys of the rows whose checks failed.
    pub keys: Vec<String>,
}

/// Response to listing objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Names {
    /// Paths of the objects, in order.
    pub names: Vec<String>,
}
