//! Token bucket.

use std::time::Duration;

use wb_types::id::Moment;

/// Time's worth of tokens that a bucket holds.
const DEPTH: Duration = Duration::from_millis(100);

/// Admits work at a rate, with bursts of 100 ms' worth.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    last: Option<Moment>,
}

impl TokenBucket {
    /// Takes one token at a rate per second, if there is one.
    pub fn try_take(&mut self, rate: f64, now: Moment) -> bool {
        let depth = (rate * DEPTH.as_secs_f64()).max(1.0);
        let passed = match self.last {
            Some(last) => now.saturating_sub(last).as_secs_f64(),
            None => f64::MAX,
        };
        self.tokens = (self.tokens + rate * passed).min(depth);
        self.last = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
