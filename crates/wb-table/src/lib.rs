//! The policy table: parsing, checking, editing and applying versions.
//!
//! - [`table`]: rows in force at one version; takes and gives deltas.
//! - [`sheet`]: the operators' file, one row per service and class of callers.
//! - [`check`]: rules that the rows keep together.
//! - [`edit`]: decides an edit against the rows that won before it.
//! - [`finding`]: what is wrong with a file, and where.

pub mod check;
pub mod edit;
pub mod finding;
pub mod table;
pub mod table_file;

pub use finding::Finding;
pub use table::Table;
