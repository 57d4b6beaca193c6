//! Operators' API client, shared by the command line and other tools.
//!
//! - [`operator`]: client for the operators' address of an instance.
//! - [`table_file`]: edits from the differences between a table file and the table in force.
//! - [`callers`]: parser of the callers file.
//! - [`show`]: formatted output.

pub mod callers;
pub mod operator;
pub mod show;
pub mod table_file;

pub use operator::OperatorClient;
