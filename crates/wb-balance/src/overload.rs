//! How long requests have come faster than they are served.

use std::time::Duration;

use wb_types::id::Moment;

/// Shortest overload that is expected to go on. Shorter ones are mostly bursts, after which those that
/// have waited are served.
const LASTING_TIME: Duration = Duration::from_secs(5);
/// Time without an unserved request after which an overload is over.
const END_TIME: Duration = Duration::from_secs(1);

/// An overload: a time in which requests wait beyond their latency target or are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overload {
    /// First and last time at which it was observed.
    span: Option<(Moment, Moment)>,
}

impl Overload {
    /// Records that a request waits beyond its latency target, or is refused for lack of room.
    pub fn record(&mut self, now: Moment) {
        let since = self.since(now).unwrap_or(now);
        self.span = Some((since, now));
    }

    /// Whether the overload is expected to last until a deadline: as long again as it has lasted, if
    /// it is no burst.
    pub fn lasts_until(&self, deadline: Moment, now: Moment) -> bool {
        let lasted = self.since(now).map(|since| now.saturating_sub(since));
        lasted.is_some_and(|lasted| lasted >= LASTING_TIME && now + lasted >= deadline)
    }

    fn since(&self, now: Moment) -> Option<Moment> {
        let (since, last) = self.span?;
        (now.saturating_sub(last) < END_TIME).then_some(since)
    }
}
