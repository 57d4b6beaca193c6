//! The policy table: parsing, validation, edits and deltas between versions.
//!
//! - [`table`]: the rows in force, to which deltas are applied.
//! - [`table_file`]: the operators' CSV file, with one row per service and class of callers.
//! - [`check`]: validation of rows.
//! - [`edit`]: merges an edit into the table or refuses it.
//! - [`finding`]: an error in a table file, with its position.

pub mod check;
pub mod edit;
pub mod finding;
pub mod table;
pub mod table_file;

pub use finding::Finding;
pub use table::Table;
