//! Monotonic time since the start of the process, and wall-clock time.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use wb_types::id::Incarnation;
use wb_types::id::Moment;

/// Number of random low bits of an incarnation.
const RANDOM_BITS: u32 = 16;

/// Monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Returns the time left until a moment; zero if it has passed.
    pub fn remaining(&self, moment: Moment) -> Duration {
        moment.saturating_sub(self.now())
    }
}

/// Returns the wall-clock time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Generates the incarnation of this process: the wall-clock time in milliseconds in the high
/// bits, random low bits.
pub fn new_incarnation() -> Incarnation {
    let random: u16 = rand::random();
    let millis = unix_time().as_millis() as u64;
    (millis << RANDOM_BITS) | u64::from(random)
}
