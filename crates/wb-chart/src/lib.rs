//! State charts that are read from YAML files.
//!
//! A chart names its first state and, for each state, the events that lead to another state. The
//! charts of the fleet are in the folder `charts/` and are compiled into the programs.

mod chart;
mod error;
mod machine;

pub use chart::Chart;
pub use error::Error;
pub use machine::Machine;
