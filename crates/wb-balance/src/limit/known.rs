//! The limit of one server, as one instance knows it.
//!
//! Responses to concurrent requests arrive in any order, and other instances report what they have
//! seen with a delay, so an observation that allows more than is known has to be newer than what it
//! replaces; one that allows less takes effect at once.

use wb_types::id::Moment;

use super::Observation;
use super::Rate;

/// The limit of one server, as one instance knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    last: Option<Observation>,
}

impl KnownLimit {
    /// The limit; `None` if the server has named none or has lifted it.
    pub fn rate(&self) -> Option<Rate> {
        self.last.and_then(|last| last.limit)
    }

    /// The newest observation.
    pub fn last(&self) -> Option<Observation> {
        self.last
    }

    /// Takes an observation into account. Returns whether the limit changed.
    pub fn observe(&mut self, observation: Observation) -> bool {
        let allowed = |rate: Option<Rate>| rate.unwrap_or(Rate::INFINITY);
        let relaxes = allowed(observation.limit) > allowed(self.rate());
        let made_after = if relaxes {
            observation.sent
        } else {
            observation.seen
        };
        let since = self.last.map(since);
        if since.is_some_and(|since| made_after < since) {
            return false;
        }
        let changed = observation.limit != self.rate();
        if changed || Some(self::since(observation)) > since {
            self.last = Some(observation);
        }
        changed
    }
}

/// Moment after which the request must have been sent whose response allows more than this one.
fn since(observation: Observation) -> Moment {
    match observation.limit {
        Some(_) => observation.seen,
        None => observation.sent,
    }
}
