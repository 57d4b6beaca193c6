//! Operators' calls, for the command line and for tools.
//!
//! - [`operator`]: calls of one instance.
//! - [`table_file`]: a sheet compared with the table in force.
//! - [`callers`]: the file of callers.
//! - [`show`]: aligned output.

pub mod callers;
pub mod operator;
pub mod show;
pub mod table_file;

pub use operator::OperatorClient;
