//! Rates and limits of outlier detection.

use std::time::Duration;

/// Settings of a [`crate::HealthMonitor`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Lowest assumed share of bad results at a failing server.
    pub failing_rate: f64,
    /// Lowest assumed share of bad results at a healthy server.
    pub usual_rate: f64,
    /// Score at which a server is ejected, in nats.
    pub eject_score: f64,
    /// Score at which a server becomes suspect and more evidence is collected, in nats.
    pub suspect_score: f64,
    /// A short request that takes longer than this many medians counts as bad.
    pub slow_factor: f64,
    /// Shortest time after which a request in flight is overdue.
    pub overdue_min: Duration,
    /// Time out of rotation after the first ejection; doubles with each further one.
    pub ejection_base: Duration,
    /// Longest time out of rotation.
    pub ejection_max: Duration,
    /// Good results in a row that end a trial.
    pub trial_samples: u32,
    /// Longest trial; a server without enough results by then returns to the rotation.
    pub trial_max: Duration,
    /// Time in which the usable slots of a new server grow to all its slots.
    pub warmup: Duration,
    /// Time in the healthy state after which earlier ejections no longer lengthen the next.
    pub ejection_memory: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failing_rate: 0.5,
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
