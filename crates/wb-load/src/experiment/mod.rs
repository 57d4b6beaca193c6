//! Runs described by a file, with faults and comparison.

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
