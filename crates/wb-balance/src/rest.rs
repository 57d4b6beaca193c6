//! How long a connection may have rested and still be used.
//!
//! Answers the load of servers that forget unused connections without a notice: what is sent next
//! on one is reset, and an order that meets the reset has an unknown end. Requests that can be
//! repeated try out longer rests; orders use those that were found safe.

use std::time::Duration;

/// Rest that is taken to be safe until a connection is reset: a fifth of the servers' usual ten
/// seconds.
const START: Duration = Duration::from_secs(2);
/// Shortest rest that is still used, some round trips: below it, a reset tells of the server.
const LEAST: Duration = Duration::from_millis(50);
/// Longest rest that is used, below the servers' usual ten seconds.
const MOST: Duration = Duration::from_secs(8);
/// Reuses beyond the safe rest without a reset after which a longer one is taken to be safe: if one
/// server in ten forgot by then, one of 30 would have shown it in 24 of 25 cases.
const PROVEN: u32 = 30;
/// Factor from the safe rest to the one tried out, and from step to step.
const STEP: u32 = 2;

/// Rests of connections to the servers of one service.
#[derive(Clone, Copy, Debug)]
pub struct Rests {
    safe: Duration,
    good: u32,
}

impl Default for Rests {
    fn default() -> Self {
        Self {
            safe: START,
            good: 0,
        }
    }
}

impl Rests {
    /// Longest rest of a connection for a request that can or can't be repeated.
    pub fn limit(&self, repeatable: bool) -> Duration {
        if repeatable {
            self.safe.saturating_mul(STEP).min(MOST)
        } else {
            self.safe
        }
    }

    /// Takes a connection that answered after a rest.
    pub fn good(&mut self, rest: Duration) {
        if rest <= self.safe {
            return;
        }
        self.good += 1;
        if self.good >= PROVEN {
            self.good = 0;
            self.safe = self.safe.saturating_mul(STEP).min(MOST);
        }
    }

    /// Takes a connection that was reset at its first use after a rest, here or at another
    /// instance. Returns whether that was thought safe, or tried out.
    pub fn reset(&mut self, rest: Duration) -> bool {
        let news = rest <= self.limit(true);
        self.good = 0;
        self.safe = (rest / STEP).clamp(LEAST, self.safe);
        news
    }
}
