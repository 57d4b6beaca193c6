//! When a hedged attempt starts: a second one, while the first is still in progress.
//!
//! Meant for short deadlines, at which a request that waits for a hanging server until the usual
//! latency has passed several times has no time left for another server.

use std::time::Duration;

/// A hedged attempt starts after this multiple of the typical latency, which one request in ten
/// exceeds.
const USUAL_FACTOR: f64 = 2.0;
/// The same if the first attempt is a trial of a suspect server, which probably fails.
const TRIAL_FACTOR: f64 = 1.25;
/// Multiple of the typical latency that must remain before the target for a hedged attempt to meet
/// it: half of all requests take less.
const TARGET_ROOM: f64 = 1.1;
/// Multiple of the typical latency that must remain before the deadline: nine in ten requests take
/// less.
pub(crate) const DEADLINE_ROOM: f64 = 2.0;
/// Shortest delay, some round trips between failure domains.
const DELAY_MIN: Duration = Duration::from_millis(30);

/// What the delay of a hedged attempt depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstAttempt {
    /// Typical latency of the route.
    pub typical: Duration,
    /// Whether the first attempt is a trial of a suspect server.
    pub trial: bool,
    /// Time from the start of the first attempt to the latency target; zero if it has passed.
    pub until_target: Duration,
    /// Time from the start of the first attempt to the deadline.
    pub until_deadline: Duration,
}

/// Time from the start of the first attempt to that of the hedged one. Never shorter than the
/// typical latency.
pub fn delay(first: FirstAttempt) -> Duration {
    let factor = if first.trial {
        TRIAL_FACTOR
    } else {
        USUAL_FACTOR
    };
    let typical = first.typical;
    let earliest = typical.mul_f64(TRIAL_FACTOR);
    let mut delay = typical.mul_f64(factor);
    let for_target = first
        .until_target
        .saturating_sub(typical.mul_f64(TARGET_ROOM));
    if for_target >= earliest {
        delay = delay.min(for_target);
    }
    let for_deadline = first
        .until_deadline
        .saturating_sub(typical.mul_f64(DEADLINE_ROOM));
    delay.min(for_deadline).max(typical).max(DELAY_MIN)
}
