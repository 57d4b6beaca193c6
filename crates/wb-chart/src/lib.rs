//! State charts read from files.
//!
//! A chart is a YAML document: the first state, and for each state the events that lead out of
//! it. The charts of the fleet live in `charts/` and are compiled in.

mod chart;
mod error;
mod machine;

pub use chart::Chart;
pub use error::Error;
pub use machine::Machine;
