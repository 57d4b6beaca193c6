//! Rates and bounds of the sequential test.

use std::time::Duration;

/// Settings of a [`crate::Ward`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Share of bad work that a sick server is taken to show, at least.
    pub sick: f64,
    /// Share of bad work that a healthy server is taken to show, at least.
    pub usual: f64,
    /// Score at which a server is ejected.
    pub eject: f64,
    /// Score at which more evidence is asked for.
    pub doubt: f64,
    /// Work slower than this many medians counts as bad.
    pub slow: f64,
    /// Work in flight is never called overdue before this.
    pub overdue: Duration,
    /// Time out of rotation after the first ejection; doubles with each further one.
    pub rest: Duration,
    /// Longest time out of rotation.
    pub limit: Duration,
    /// Good pieces of work that a trial asks for.
    pub trial: u32,
    /// Longest trial without enough work to judge by.
    pub patience: Duration,
    /// Time a new server takes to reach its full share of work.
    pub warmup: Duration,
    /// Time after which an earlier ejection no longer lengthens the next.
    pub forgive: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            sick: 0.5,
            usual: 0.01,
            eject: 17.0,
            doubt: 3.5,
            slow: 6.0,
            overdue: Duration::from_millis(200),
            rest: Duration::from_secs(5),
            limit: Duration::from_secs(300),
            trial: 10,
            patience: Duration::from_secs(10),
            warmup: Duration::from_secs(5),
            forgive: Duration::from_secs(600),
        }
    }
}
