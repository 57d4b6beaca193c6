//! How long a connection may have been idle and still be reused.
//!
//! Some servers drop idle connections without notice: the next request on such a connection is
//! reset, and whether a non-idempotent request ran is then unknown. Idempotent requests try longer
//! idle times; non-idempotent ones use only those that have proven safe.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::ServerName;

/// Idle time that counts as safe at first: a fifth of the servers' usual idle timeout of ten
/// seconds.
const SAFE_INITIAL: Duration = Duration::from_secs(2);
/// Shortest limit of the idle time, some round trips: a reset after less idle time is evidence on
/// the server.
const IDLE_MIN: Duration = Duration::from_millis(50);
/// Longest limit of the idle time, below the servers' usual idle timeout of ten seconds.
const IDLE_MAX: Duration = Duration::from_secs(8);
/// Reuses beyond the safe idle time without a reset that prove a longer one: if one server in ten
/// had dropped its idle connections by then, 30 reuses would have shown it in 24 of 25 cases.
const REUSES_PROVEN: u32 = 30;
/// Factor from the safe idle time to the one that is tried, and from one safe idle time to the
/// next.
const LIMIT_FACTOR: u32 = 2;
/// Decayed count of resets at which idling counts as their cause, provided that the servers were
/// mostly healthy ([`HEALTHY_RATIO`]).
const RESETS_CONFIRMED: f64 = 3.5;
/// Resets at healthy servers needed for each reset at a failing one: a mildly failing server
/// answers seven in ten requests, and is taken for healthy as often.
const HEALTHY_RATIO: f64 = 6.0;
/// Time from send to reset, some round trips, up to which the reset is due to the connection; a
/// later one is due to the server.
const RESET_DELAY_MAX: Duration = Duration::from_millis(250);
/// Time constant of the decay of both counts, long enough for several sends to each server in a
/// quiet hour.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Time after which a pending reset is dropped without an explanation.
const PENDING_MAX: Duration = DECAY_TIME.saturating_mul(2);

/// The cause of a reset at the first use after idling.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetCause {
    /// Idling this long: the server answered on the next new connection.
    #[serde(rename = "rest")]
    Idle(Duration),
    /// The server: it failed on the next new connection, too.
    Server,
}

/// Idle limits of connections to the servers of one service.
#[derive(Clone, Debug)]
pub struct IdleLimits {
    safe_idle: Duration,
    long_reuses: u32,
    /// Resets after idling whose server has not been used on a new connection since, each with the
    /// idle time and the time of the reset.
    pending: HashMap<ServerName, (Duration, Moment)>,
    idle_resets: f64,
    server_resets: f64,
    decayed_at: Moment,
}

impl Default for IdleLimits {
    fn default() -> Self {
        Self {
            safe_idle: SAFE_INITIAL,
            long_reuses: 0,
            pending: HashMap::new(),
            idle_resets: 0.0,
            server_resets: 0.0,
            decayed_at: Moment::ZERO,
        }
    }
}

/// Whether a reset that came `took` after the send may be due to the idle time of its connection.
pub fn may_be_stale(idle: Duration, took: Duration) -> bool {
    idle > IDLE_MIN && took < RESET_DELAY_MAX
}

impl IdleLimits {
    /// Longest idle time of a connection that a request may reuse. Idempotent requests try longer
    /// ones.
    pub fn limit(&self, idempotent: bool) -> Duration {
        if idempotent {
            self.safe_idle.saturating_mul(LIMIT_FACTOR).min(IDLE_MAX)
        } else {
            self.safe_idle
        }
    }

    /// Records a response on a connection that had been idle.
    pub fn record_reuse(&mut self, idle: Duration) {
        if idle <= self.safe_idle {
            return;
        }
        self.long_reuses += 1;
        if self.long_reuses >= REUSES_PROVEN {
            self.long_reuses = 0;
            self.safe_idle = self.safe_idle.saturating_mul(LIMIT_FACTOR).min(IDLE_MAX);
        }
    }

    /// Records a reset at the first use after idling. The result of the server's next new
    /// connection will explain it.
    pub fn record_reset(&mut self, server: &ServerName, idle: Duration, now: Moment) {
        self.pending
            .retain(|_, (_, at)| now.saturating_sub(*at) < PENDING_MAX);
        self.pending.insert(server.clone(), (idle, now));
    }

    /// Records the end of a send on a new connection. Returns the cause of an earlier reset at the
    /// same server, if one is pending.
    pub fn explain_reset(&mut self, server: &ServerName, answered: bool) -> Option<ResetCause> {
        let (idle, _) = self.pending.remove(server)?;
        Some(if answered {
            ResetCause::Idle(idle)
        } else {
            ResetCause::Server
        })
    }

    /// Counts the cause of a reset, found here or reported by a peer, and lowers the safe idle time
    /// once idling is confirmed as the cause.
    pub fn apply_cause(&mut self, cause: ResetCause, now: Moment) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let decay = (-passed / DECAY_TIME.as_secs_f64()).exp();
        self.decayed_at = now;
        self.idle_resets *= decay;
        self.server_resets *= decay;
        match cause {
            ResetCause::Server => self.server_resets += 1.0,
            ResetCause::Idle(idle) => {
                self.idle_resets += 1.0;
                if self.idle_resets >= RESETS_CONFIRMED
                    && self.idle_resets >= HEALTHY_RATIO * self.server_resets
                {
                    self.long_reuses = 0;
                    self.safe_idle = (idle / LIMIT_FACTOR).clamp(IDLE_MIN, self.safe_idle);
                }
            }
        }
    }
}
