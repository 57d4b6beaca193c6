//! Operators' calls, for the command line and for tools.
//!
//! - [`operator`]: calls of one instance.
//! - [`sheet`]: a sheet compared with the table in force.
//! - [`callers`]: the file of callers.
//! - [`show`]: aligned output.

pub mod callers;
pub mod operator;
pub mod sheet;
pub mod show;

pub use operator::Operator;
