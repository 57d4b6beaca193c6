//! Rates and bounds of the sequential test.

use std::time::Duration;

/// Settings of a [`crate::Ward`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Share of bad work that a sick server is taken to show, at least.
    pub sick_rate: f64,
    /// Share of bad work that a healthy server is taken to show, at least.
    pub usual_rate: f64,
    /// Score at which a server is ejected.
    pub eject_score: f64,
    /// Score at which more evidence is asked for.
    pub suspect_score: f64,
    /// Work slower than this many medians counts as bad.
    pub slow_factor: f64,
    /// Work in flight is never called overdue before this.
    pub overdue_min: Duration,
    /// Time out of rotation after the first ejection; doubles with each further one.
    pub ejection_base: Duration,
    /// Longest time out of rotation.
    pub ejection_max: Duration,
    /// Good pieces of work that a trial asks for.
    pub trial_samples: u32,
    /// Longest trial without enough work to judge by.
    pub trial_max: Duration,
    /// Time a new server takes to reach its full share of work.
    pub warmup: Duration,
    /// Time after which an earlier ejection no longer lengthens the next.
    pub ejection_memory: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            sick_rate: 0.5,
            usual_rate: 0.01,
            eject_score: 17.0,
            suspect_score: 3.5,
            slow_factor: 6.0,
            overdue_min: Duration::from_millis(200),
            ejection_base: Duration::from_secs(5),
            ejection_max: Duration::from_secs(300),
            trial_samples: 10,
            trial_max: Duration::from_secs(10),
            warmup: Duration::from_secs(5),
            ejection_memory: Duration::from_secs(600),
        }
    }
}
