//! Experiments: load and faults described by a file, with a report for each policy.

mod faults;
mod load;
mod logs;
mod plan;
mod plot;
mod report;
mod run;

pub use plan::Plan;
pub use report::compare;
pub use run::run;
