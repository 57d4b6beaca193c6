//! Which requests an instance still sends before its process ends.
//!
//! Meant for planned stops in calm: what is sent gets its response, and what can't get one is refused
//! as not executed, so that its caller goes to another instance.

use std::time::Duration;

use wb_types::id::Moment;

use crate::RequestInfo;

/// Typical durations that have to remain before the end. By the users' sheets, three in a hundred
/// requests take seven times as long as usual.
const DURATIONS: u32 = 8;
/// Time after the stop signal in which requests are taken that are only likely to be answered in time.
/// A later one that its server holds would be given up at the end, while its caller can still go
/// elsewhere.
const UNSURE_TIME: Duration = Duration::from_secs(3);

/// The end of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closing {
    /// When the instance was told to end.
    pub begin: Moment,
    /// When the last response has to be complete.
    pub end: Moment,
}

impl Closing {
    /// Whether a request would be answered in time if it were sent now. `typical` is how long it
    /// usually takes, if that is known.
    pub fn admits(&self, request: &RequestInfo, typical: Option<Duration>, now: Moment) -> bool {
        let is_sure = request.deadline <= self.end;
        let is_likely = typical.is_some_and(|typical| now + typical * DURATIONS <= self.end);
        is_sure || (is_likely && request.arrived <= self.begin + UNSURE_TIME)
    }
}
