//! Synchronization with the platform.
//!
//! Every instance follows the routes, since each change concerns all of them. The server list
//! changes all the time, so only some homes follow it and broadcast the changes; an instance that
//! has received none for too long reads the list itself.

pub mod doubts;
pub mod holds;
pub mod members;
pub mod routes;
pub mod servers;

use std::time::Duration;

use wb_event::Event;
use wb_event::line;

use crate::Context;
use crate::metrics::CallLabels;
use crate::peers::Packet;
use crate::platform::Error;
use crate::platform::RowError;

/// Counts the calls of one follower, and logs when the platform becomes unavailable to it and when
/// it is available again.
pub struct CallMonitor {
    call: &'static str,
    down: bool,
}

impl CallMonitor {
    /// Creates a monitor of the named call. The platform counts as available at first.
    pub fn new(call: &'static str) -> Self {
        Self { call, down: false }
    }

    /// Records the result of a call.
    pub fn record<T>(&mut self, context: &Context, result: &Result<T, Error>) {
        let kind = match result {
            Ok(_) => "good",
            Err(Error::Unavailable(_)) => "down",
            Err(Error::Throttled) => "throttled",
            Err(Error::Indeterminate(_)) => "unknown",
            Err(Error::Compacted) => "forgotten",
            Err(Error::Malformed(_)) => "malformed",
        };
        let labels = CallLabels {
            call: self.call,
            result: kind,
        };
        context.metrics.platform_calls.get_or_create(&labels).inc();
        let failed = matches!(
            result,
            Err(Error::Unavailable(_)
                | Error::Throttled
                | Error::Indeterminate(_)
                | Error::Malformed(_))
        );
        if failed && !self.down {
            let error = result.as_ref().err().map(ToString::to_string);
            line!(Event::PlatformDown, call = self.call, error = error);
        }
        if !failed && self.down {
            line!(Event::PlatformUp, call = self.call);
            // A long poll that was sent during the outage may never be answered.
            context.routes_wakeup.notify_one();
        }
        self.down = failed;
        observe_era(context, self.call);
    }
}

/// Notes the era of the platform's last response. In another one than before, rows have been lost:
/// this instance reads the routes at once, since a long poll waits for versions of the lost history,
/// and registers again, homes tell the others, and servers get time to write their rows. Called
/// before the response is applied.
fn observe_era(context: &Context, call: &'static str) {
    let Some(era) = context.catalog.era() else {
        return;
    };
    let mut state = context.state();
    let before = state.era.replace(era);
    if before == Some(era) {
        return;
    }
    context.metrics.platform_era.set(era as i64);
    line!(
        Event::PlatformRestored,
        era = era,
        before = before,
        call = call,
        routes = state.routes.as_ref().map(|routes| routes.version),
        servers = state.listing.read_version()
    );
    if before.is_none() {
        return;
    }
    let now = context.now();
    state.listing.record_failure(now, now);
    context.routes_wakeup.notify_one();
    context.rejoin.notify_one();
    if state.steering.is_home() {
        let packet = Packet::PlatformEra { era };
        context.send_packet(packet, state.steering.peer_addresses());
    }
}

/// Exponential backoff between failed calls, with jitter so that instances don't call at the same
/// moment.
pub struct Backoff {
    next: Duration,
}

/// First wait after a failed call.
const INITIAL_WAIT: Duration = Duration::from_millis(150);
/// Longest wait between failed calls, well below the time in which changes must take effect.
const MAX_WAIT: Duration = Duration::from_millis(600);

impl Backoff {
    /// Starts with the shortest wait.
    pub fn new() -> Self {
        Self { next: INITIAL_WAIT }
    }

    /// Returns to the shortest wait, after a successful call.
    pub fn reset(&mut self) {
        self.next = INITIAL_WAIT;
    }

    /// Waits after a failed call, and doubles the next wait.
    pub async fn wait(&mut self) {
        let jitter = rand::random_range(0.7..1.3);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_WAIT);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

/// Logs rows that can't be decoded.
pub fn log_errors(errors: &[RowError]) {
    for error in errors {
        line!(Event::RowUnreadable, row = error.row, error = error.message);
    }
}
