//! The operators' table file: CSV with one row per service and class of callers.

mod parse;
mod write;

pub use parse::parse;
pub use write::write;

/// Names of the columns, in the order in which they are written. A file may have them in any
/// order.
pub const COLUMNS: [&str; 9] = [
    "service",
    "class",
    "weight",
    "rate_per_s",
    "concurrency",
    "queue",
    "wait_ms",
    "deadline_ms",
    "floor_percent",
];
