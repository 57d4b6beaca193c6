//! How many of the requests that come are of which priority.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_types::id::Moment;

/// Numbers of requests by priority; older ones count less.
#[derive(Clone, Debug)]
pub struct Ranks {
    counts: BTreeMap<u8, f64>,
    /// Time in which a request fades away.
    fade: Duration,
    faded_at: Moment,
}

impl Ranks {
    /// No request has come; each will fade away in this time.
    pub fn new(fade: Duration) -> Self {
        Self {
            counts: BTreeMap::new(),
            fade,
            faded_at: Moment::ZERO,
        }
    }

    /// Records a request.
    pub fn record(&mut self, priority: u8, now: Moment) {
        let passed = now.saturating_sub(self.faded_at);
        let factor = (-passed.as_secs_f64() / self.fade.as_secs_f64()).exp();
        self.faded_at = now;
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        *self.counts.entry(priority).or_default() += 1.0;
    }

    /// Share of the requests that have a higher priority, 0 to 1.
    pub fn share_above(&self, priority: u8) -> f64 {
        let all: f64 = self.counts.values().sum();
        let above: f64 = self.counts.range(..priority).map(|(_, count)| count).sum();
        if all > 0.0 { above / all } else { 0.0 }
    }
}
