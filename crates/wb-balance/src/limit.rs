//! Request rates to which backend servers limit the fleet.
//!
//! A server names the rate that it takes from all instances together in the responses that it
//! sends while the limit holds. Responses to concurrent requests arrive in any order, and other
//! instances report what they have seen with a delay, so an observation that allows more than is
//! known has to be newer than what it replaces; one that allows less takes effect at once.

use wb_types::id::Moment;

/// Rate of requests, in requests per second.
pub type Rate = f64;

/// What one response says about its server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The limit; `None` if the response names none.
    pub limit: Option<Rate>,
    /// When the request was sent. The server made the response later.
    pub sent: Moment,
    /// When the response arrived. The server made it earlier.
    pub seen: Moment,
}

/// A value that is not a limit: it is negative or not a finite decimal number.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("limit {0:?} is not a decimal number of 0 or more")]
pub struct InvalidLimit(pub String);

/// Parses the values of a response's limit header. Of several limits, the lowest holds.
///
/// # Errors
///
/// The first value that is not a limit, if none is one.
pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Result<Option<Rate>, InvalidLimit> {
    let mut lowest: Option<Rate> = None;
    let mut invalid = None;
    for value in values.flat_map(|value| value.split(',')) {
        match parse_rate(value.trim()) {
            Some(rate) => lowest = Some(lowest.map_or(rate, |lowest| lowest.min(rate))),
            None => invalid = invalid.or_else(|| Some(InvalidLimit(value.to_owned()))),
        }
    }
    match (lowest, invalid) {
        (None, Some(invalid)) => Err(invalid),
        (lowest, _) => Ok(lowest),
    }
}

fn parse_rate(text: &str) -> Option<Rate> {
    let rate: Rate = text.parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// The limit of one server, as one instance knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    rate: Option<Rate>,
    /// An observation that allows more must be of a request that was sent after this.
    since: Option<Moment>,
}

impl KnownLimit {
    /// The limit; `None` if the server has named none or has lifted it.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Takes an observation into account. Returns whether the limit changed.
    pub fn observe(&mut self, observation: Observation) -> bool {
        let allowed = |rate: Option<Rate>| rate.unwrap_or(Rate::INFINITY);
        let relaxes = allowed(observation.limit) > allowed(self.rate);
        let made_after = if relaxes {
            observation.sent
        } else {
            observation.seen
        };
        if self.since.is_some_and(|since| made_after < since) {
            return false;
        }
        let changed = observation.limit != self.rate;
        self.rate = observation.limit;
        let since = match observation.limit {
            Some(_) => observation.seen,
            None => observation.sent,
        };
        self.since = self.since.max(Some(since));
        changed
    }
}
