//! Decision records in hash-chained batches.
//!
//! - [`record`]: one decision, and batches of them.
//! - [`log`]: collects records within a bound and closes batches.
//! - [`chain`]: checks that a run of batches is whole.

pub mod buffer;
pub mod chain;
pub mod record;

pub use buffer::RecordBuffer;
pub use record::Batch;
pub use record::DecisionRecord;
