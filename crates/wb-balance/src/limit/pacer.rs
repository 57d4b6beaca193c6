//! Spacing of requests at a rate.

use std::time::Duration;

use wb_types::id::Moment;

use super::Rate;

/// Time whose requests may be sent together: queued requests are sent at intervals of this order.
const BURST_TIME: Duration = Duration::from_millis(100);

/// A token bucket. It is empty at first, since other instances may just have used the rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacer {
    rate: Rate,
    tokens: f64,
    at: Moment,
}

impl Pacer {
    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: Rate, now: Moment) {
        self.tokens = self.tokens(now);
        self.at = now;
        self.rate = rate;
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Moment) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: Moment) {
        self.tokens = self.tokens(now) - 1.0;
        self.at = now;
    }

    fn tokens(&self, now: Moment) -> f64 {
        if self.rate <= 0.0 {
            return self.tokens.min(0.0);
        }
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (self.tokens + self.rate * passed).min(burst)
    }
}
