//! Which requests an instance still sends before its process ends.
//!
//! Meant for planned stops in calm: what is sent gets its response, and what can't get one is refused
//! as not executed, so that its caller goes to another instance.

use std::time::Duration;

use wb_types::id::Moment;

/// Typical durations that have to remain before the end. By the users' sheets, three in a hundred
/// requests take seven times as long as usual.
const DURATIONS: u32 = 8;

/// The end of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closing {
    /// When the last response has to be complete.
    pub end: Moment,
}

impl Closing {
    /// Whether a request that usually takes `typical`, and ends by `deadline` in any case, would be
    /// answered in time if it were sent now.
    pub fn admits(&self, typical: Duration, deadline: Moment, now: Moment) -> bool {
        deadline.min(now + typical * DURATIONS) <= self.end
    }
}
