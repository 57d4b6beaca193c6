//! Request rates to which backend servers limit the fleet.
//!
//! A server names the rate that it takes from all instances together in the responses that it
//! sends while the limit holds. The homes divide the rate among them, without asking each other for
//! single requests.
//!
//! - [`known`]: the limit of a server, from observations that arrive in any order.
//! - [`division`]: the part of the limit that an instance may use.
//! - [`pacer`]: when it may send the next request.
//! - [`server`]: the three together, for one server.

pub mod division;
pub mod known;
pub mod pacer;
pub mod server;

pub use division::Division;
pub use known::KnownLimit;
pub use pacer::Pacer;
pub use server::Audience;
pub use server::ServerLimit;

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
