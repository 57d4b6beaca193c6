//! Token bucket.

use std::time::Duration;

use wb_types::id::Moment;

/// Time at the full rate after which an empty bucket is full.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Admits requests at a rate, with bursts of up to 100 ms at that rate.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    last: Option<Moment>,
}

impl TokenBucket {
    /// Takes one token, if there is one. `rate` is the number of tokens per second.
    pub fn try_take(&mut self, rate: f64, now: Moment) -> bool {
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let elapsed = match self.last {
            Some(last) => now.saturating_sub(last).as_secs_f64(),
            None => f64::MAX,
        };
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.last = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
