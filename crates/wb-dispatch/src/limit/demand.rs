//! Rate of the submitted requests.

use std::time::Duration;

use wb_types::id::Moment;

/// Time constant of the exponential average.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Exponentially decaying average of a request rate.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    last: Moment,
}

impl DemandMeter {
    /// Counts one request.
    pub fn count(&mut self, now: Moment) {
        self.decay(now);
        self.rate += 1.0 / TIME_CONSTANT.as_secs_f64();
    }

    /// Current average, in requests per second.
    pub fn rate(&mut self, now: Moment) -> f64 {
        self.decay(now);
        self.rate
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        self.rate *= (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.last = now;
    }
}
