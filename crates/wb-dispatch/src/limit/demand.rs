//! Requests offered per second.

use std::time::Duration;

use wb_types::id::Moment;

/// Time constant of the average.
const WINDOW: Duration = Duration::from_millis(500);

/// Decaying average of a rate.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    last: Moment,
}

impl DemandMeter {
    /// Counts one request.
    pub fn count(&mut self, now: Moment) {
        self.fade(now);
        self.rate += 1.0 / WINDOW.as_secs_f64();
    }

    /// Requests per second of late.
    pub fn rate(&mut self, now: Moment) -> f64 {
        self.fade(now);
        self.rate
    }

    fn fade(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.rate *= (-passed / WINDOW.as_secs_f64()).exp();
        self.last = now;
    }
}
