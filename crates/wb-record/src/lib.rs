//! Decision records in hash-chained batches.
//!
//! - [`record`]: one decision, and batches of them.
//! - [`log`]: collects records within a bound and closes batches.
//! - [`chain`]: checks that a run of batches is whole.

pub mod chain;
pub mod log;
pub mod record;

pub use log::Log;
pub use record::Batch;
pub use record::Record;
