//! Pauses that servers ask for, and the wait that they mean for requests.
//!
//! A server that turns a request away may say for how long it wants nothing more from this instance.
//! It is not sick, and other instances may still send to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Server;

use crate::limit::Rate;

/// Longest pause. A server that names a longer one has probably used another unit.
const PAUSE_MAX: Duration = Duration::from_secs(3600);

/// A value that is not a time: it is negative or not a finite decimal number.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("pause {0:?} is not a decimal number of seconds, 0 or more")]
pub struct InvalidPause(pub String);

/// Parses the values of a response's header, in seconds. Of several pauses, the longest holds.
///
/// # Errors
///
/// The first value that is not a time, if none is one.
pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Result<Option<Duration>, InvalidPause> {
    let mut longest = None;
    let mut invalid = None;
    for value in values {
        match parse_seconds(value.trim()) {
            Some(pause) => longest = longest.max(Some(pause)),
            None => invalid = invalid.or_else(|| Some(InvalidPause(value.to_owned()))),
        }
    }
    match (longest, invalid) {
        (None, Some(invalid)) => Err(invalid),
        (longest, _) => Ok(longest),
    }
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let valid = seconds.is_finite() && seconds >= 0.0;
    valid.then(|| Duration::from_secs_f64(seconds.min(PAUSE_MAX.as_secs_f64())))
}

/// Pauses of servers whose rows are missing: a row may lapse while its server goes on.
#[derive(Clone, Debug, Default)]
pub struct MissingServers(HashMap<ServerName, (SocketAddr, Moment)>);

impl MissingServers {
    /// Remembers until when a server wants nothing.
    pub fn insert(&mut self, server: &Server, until: Moment, now: Moment) {
        self.0.retain(|_, (_, until)| now < *until);
        if now < until {
            let address = server.address;
            self.0.insert(server.name.clone(), (address, until));
        }
    }

    /// Forgets a server that is listed again. Returns until when it wants nothing; `None` if it wanted no
    /// pause or has another address.
    pub fn remove(&mut self, server: &Server) -> Option<Moment> {
        let (address, until) = self.0.remove(&server.name)?;
        (address == server.address).then_some(until)
    }
}

/// Capacity that is available from a moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// From when on.
    pub from: Moment,
    /// Requests per second.
    pub rate: Rate,
}

/// Time until `ahead` requests have got a slot. `None` if they never do.
pub fn wait_for(ahead: f64, capacities: &mut [Capacity], now: Moment) -> Option<Duration> {
    capacities.sort_by_key(|capacity| capacity.from);
    let mut served = 0.0;
    let mut rate = 0.0;
    let mut at = now;
    for capacity in capacities.iter() {
        let from = capacity.from.max(now);
        let more = rate * (from - at).as_secs_f64();
        if served + more >= ahead && rate > 0.0 {
            break;
        }
        served += more;
        rate += capacity.rate;
        at = from;
    }
    let rest = Duration::try_from_secs_f64((ahead - served) / rate).ok()?;
    Some(at - now + rest)
}
