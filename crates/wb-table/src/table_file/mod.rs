//! The operators' file: one row per service and class of callers, in CSV.

mod parse;
mod write;

pub use parse::parse;
pub use write::write;

/// Columns, in the order in which they are written.
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
