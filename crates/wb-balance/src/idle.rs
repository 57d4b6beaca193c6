//! How long a connection may have rested and still be used.
//!
//! Answers the load of servers that forget unused connections without a notice: what is sent next
//! on one is reset, and an order that meets the reset has an unknown end. Requests that can be
//! repeated try out longer rests; orders use those that were found safe.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::ServerName;

/// Rest that is taken to be safe until a connection is reset: a fifth of the servers' usual ten
/// seconds.
const START: Duration = Duration::from_secs(2);
/// Shortest rest that is still used, some round trips: below it, a reset tells of the server.
const LEAST: Duration = Duration::from_millis(50);
/// Longest rest that is used, below the servers' usual ten seconds.
const MOST: Duration = Duration::from_secs(8);
/// Reuses beyond the safe rest without a reset after which a longer one is taken to be safe: if one
/// server in ten forgot by then, one of 30 would have shown it in 24 of 25 cases.
const PROVEN: u32 = 30;
/// Factor from the safe rest to the one tried out, and from step to step.
const STEP: u32 = 2;
/// Resets after which rests are taken to be the cause, if the servers were sound otherwise.
const CONFIRMED: f64 = 3.5;
/// Resets of servers that were sound for each of a server that was sick: those that are mildly sick
/// answer seven in ten requests, and pass as sound as often.
const SOUND_PART: f64 = 6.0;
/// A reset within some round trips of the send tells of the connection, a later one of the server.
const SOON: Duration = Duration::from_millis(250);
/// Time constant of both counts: some sends to each server at a calm hour.
const FADE: Duration = Duration::from_secs(5);
/// Time after which a reset is left unexplained.
const OPEN_LIFE: Duration = FADE.saturating_mul(2);

/// What a reset after a rest was due to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetCause {
    /// The rest: the server answered on the next new connection.
    #[serde(rename = "rest")]
    Idle(Duration),
    /// The server: it failed on the next new connection, too.
    Server,
}

/// Rests of connections to the servers of one service.
#[derive(Clone, Debug)]
pub struct IdleLimits {
    safe: Duration,
    good: u32,
    /// Servers that reset a connection after a rest, and have not been asked on a new one since.
    open: HashMap<ServerName, (Duration, Moment)>,
    rested: f64,
    sick: f64,
    last: Moment,
}

impl Default for IdleLimits {
    fn default() -> Self {
        Self {
            safe: START,
            good: 0,
            open: HashMap::new(),
            rested: 0.0,
            sick: 0.0,
            last: Moment::ZERO,
        }
    }
}

/// Whether a reset so long after the send may be due to the rest of its connection.
pub fn may_be_stale(rest: Duration, took: Duration) -> bool {
    rest > LEAST && took < SOON
}

impl IdleLimits {
    /// Longest rest of a connection for a request that can or can't be repeated.
    pub fn limit(&self, repeatable: bool) -> Duration {
        if repeatable {
            self.safe.saturating_mul(STEP).min(MOST)
        } else {
            self.safe
        }
    }

    /// Takes a connection that answered after a rest.
    pub fn record_reuse(&mut self, rest: Duration) {
        if rest <= self.safe {
            return;
        }
        self.good += 1;
        if self.good >= PROVEN {
            self.good = 0;
            self.safe = self.safe.saturating_mul(STEP).min(MOST);
        }
    }

    /// Takes a connection that was reset at its first use after a rest. The server's next new
    /// connection tells why.
    pub fn record_reset(&mut self, server: &ServerName, rest: Duration, now: Moment) {
        self.open
            .retain(|_, (_, at)| now.saturating_sub(*at) < OPEN_LIFE);
        self.open.insert(server.clone(), (rest, now));
    }

    /// Takes the end of a send on a new connection. Returns what an earlier reset was due to.
    pub fn explain_reset(&mut self, server: &ServerName, answered: bool) -> Option<ResetCause> {
        let (rest, _) = self.open.remove(server)?;
        Some(if answered {
            ResetCause::Idle(rest)
        } else {
            ResetCause::Server
        })
    }

    /// Takes the cause of a reset, found here or at another instance.
    pub fn apply_cause(&mut self, cause: ResetCause, now: Moment) {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        let fade = (-passed / FADE.as_secs_f64()).exp();
        self.last = now;
        self.rested *= fade;
        self.sick *= fade;
        match cause {
            ResetCause::Server => self.sick += 1.0,
            ResetCause::Idle(rest) => {
                self.rested += 1.0;
                if self.rested >= CONFIRMED && self.rested >= SOUND_PART * self.sick {
                    self.good = 0;
                    self.safe = (rest / STEP).clamp(LEAST, self.safe);
                }
            }
        }
    }
}
