//! Time, as the process sees it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use wb_types::id::Incarnation;
use wb_types::id::Moment;

/// Bits of an incarnation that are random.
const RANDOM_BITS: u32 = 16;

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Time left until a moment.
    pub fn remaining(&self, moment: Moment) -> Duration {
        moment.saturating_sub(self.now())
    }
}

/// Wall-clock time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Number of this process start: the time in milliseconds and a random part.
pub fn new_incarnation() -> Incarnation {
    let random: u16 = rand::random();
    let millis = unix_time().as_millis() as u64;
    (millis << RANDOM_BITS) | u64::from(random)
}
