//! Decision records in hash-chained batches.
//!
//! - [`record`]: the record of a decision, and batches of records.
//! - [`buffer`]: collects records into batches until they are stored, within a bound.
//! - [`chain`]: verifies the hash chain of the batches of a process.

pub mod buffer;
pub mod chain;
pub mod record;

pub use buffer::RecordBuffer;
pub use record::Batch;
pub use record::DecisionRecord;
