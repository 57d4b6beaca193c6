//! Routes and servers as the platform has them.
//!
//! Every instance follows the routes, since each change concerns all. The list of servers, which
//! changes all the time, is followed by the homes, which tell the others; whoever hears nothing of
//! it for too long asks for itself.

pub mod members;
pub mod routes;
pub mod servers;

use std::time::Duration;

use wb_event::Event;
use wb_event::line;

use crate::Context;
use crate::metrics::CallLabels;
use crate::platform::Error;
use crate::platform::RowError;

/// Counts a call and logs the loss and the return of the platform, seen by one follower.
pub struct Watch {
    call: &'static str,
    down: bool,
}

impl Watch {
    /// A follower that has made no call yet.
    pub fn new(call: &'static str) -> Self {
        Self { call, down: false }
    }

    /// Takes how a call ended.
    pub fn note<T>(&mut self, context: &Context, result: &Result<T, Error>) {
        let kind = match result {
            Ok(_) => "good",
            Err(Error::Unavailable(_)) => "down",
            Err(Error::Indeterminate(_)) => "unknown",
            Err(Error::Compacted) => "forgotten",
            Err(Error::Malformed(_)) => "malformed",
        };
        let labels = CallLabels {
            call: self.call,
            result: kind,
        };
        context.metrics.calls.get_or_create(&labels).inc();
        let failed = matches!(
            result,
            Err(Error::Unavailable(_) | Error::Indeterminate(_) | Error::Malformed(_))
        );
        if failed && !self.down {
            let error = result.as_ref().err().map(ToString::to_string);
            line!(Event::PlatformDown, call = self.call, error = error);
        }
        if !failed && self.down {
            line!(Event::PlatformUp, call = self.call);
            // A long question that was asked meanwhile may never be answered.
            context.routes_due.notify_one();
        }
        self.down = failed;
    }
}

/// Waits between failed calls: doubles from the first to the longest, with some chance in it so
/// that instances don't call together.
pub struct Backoff {
    next: Duration,
}

/// First wait after a failed call.
const FIRST: Duration = Duration::from_millis(150);
/// Longest wait between failed calls, well within the time in which changes must be in force.
const LONGEST: Duration = Duration::from_millis(600);

impl Backoff {
    /// No call has failed.
    pub fn new() -> Self {
        Self { next: FIRST }
    }

    /// A call was answered.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }

    /// Waits after a failed call.
    pub async fn wait(&mut self) {
        let share = rand::random_range(0.7..1.3);
        tokio::time::sleep(self.next.mul_f64(share)).await;
        self.next = (self.next * 2).min(LONGEST);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

/// Logs rows that can't be read.
pub fn report(errors: &[RowError]) {
    for finding in errors {
        line!(
            Event::RowUnreadable,
            row = finding.row,
            error = finding.message
        );
    }
}
