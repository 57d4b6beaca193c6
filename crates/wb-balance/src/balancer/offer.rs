//! Requests that come.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::Decision;
use super::Refusal;
use super::RefusalCause;
use super::RequestInfo;
use super::Waiter;

/// Part of the retry allowance that is kept for work of higher rank.
const KEEP: f64 = 0.3;
/// Part of the retry allowance that is kept from second sends beside a slow one, which would
/// mostly be answered anyway.
const KEEP_HEDGE: f64 = 0.6;
/// Shortest time until a refused request may come back.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest time until a refused request may come back.
const AFTER_MAX: Duration = Duration::from_secs(5);

impl Balancer {
    /// Decides on a request that came from a caller.
    pub fn admit(&mut self, ask: RequestInfo, now: Moment) -> Decision {
        self.budget.record_request(now);
        self.urgent = self.urgent.min(ask.priority);
        self.decide(ask, now)
    }

    /// Decides on a request that a server has shed, or that may run again.
    pub fn retry(&mut self, ask: RequestInfo, now: Moment) -> Decision {
        let keep = if ask.priority > self.urgent {
            KEEP
        } else {
            0.0
        };
        self.decide_within(keep, ask, now)
    }

    /// Decides on a second send beside one that takes long. It never waits: the first one's answer
    /// may come meanwhile.
    pub fn hedge(&mut self, ask: RequestInfo, now: Moment) -> Decision {
        match self.decide_within(KEEP_HEDGE, ask, now) {
            Decision::Wait(key) => {
                self.cancel(key);
                Self::refuse(RefusalCause::NoRoom, RETRY_AFTER_MIN)
            }
            other => other,
        }
    }

    fn decide_within(&mut self, keep: f64, ask: RequestInfo, now: Moment) -> Decision {
        if !self.budget.try_spend(keep, now) {
            return Self::refuse(RefusalCause::RetryBudget, RETRY_AFTER_MIN);
        }
        self.decide(ask, now)
    }

    /// Decides on a request of which no byte was handed over to the server that it was given to.
    pub fn reassign(&mut self, ask: RequestInfo, now: Moment) -> Decision {
        self.decide(ask, now)
    }

    fn decide(&mut self, ask: RequestInfo, now: Moment) -> Decision {
        let left = self
            .servers
            .iter()
            .any(|(key, entry)| entry.is_usable() && !ask.tried.contains(&key));
        if !left {
            return Self::refuse(RefusalCause::NoServer, RETRY_AFTER_MIN);
        }
        let ahead = self.ahead(&ask);
        let key = if ahead == 0 {
            self.pick(&ask, self.is_desperate(&ask, now, now), now)
        } else {
            // A trial takes no slot that those who wait could have.
            self.due(&ask, now)
        };
        if let Some(key) = key {
            return Decision::Send(self.grant(key, now));
        }
        let wait = self.wait(ahead + 1);
        let usual = self.typical_duration(&ask.route);
        let room = ask.deadline.saturating_sub(now);
        if self.waiting.len() >= self.options.queue_max || wait.saturating_add(usual) > room {
            let after = wait.saturating_add(usual).saturating_sub(room);
            return Self::refuse(RefusalCause::NoRoom, after);
        }
        Decision::Wait(self.waiting.insert(Waiter { ask, since: now }))
    }

    fn refuse(cause: RefusalCause, after: Duration) -> Decision {
        Decision::Refuse(Self::refusal(cause, after))
    }

    pub(super) fn refusal(cause: RefusalCause, after: Duration) -> Refusal {
        Refusal {
            cause,
            retry_after: after.clamp(RETRY_AFTER_MIN, AFTER_MAX),
        }
    }

    /// Waiting requests of the same or a higher rank.
    fn ahead(&self, ask: &RequestInfo) -> usize {
        let waiting = self.waiting.values();
        waiting
            .filter(|waiter| waiter.ask.priority <= ask.priority)
            .count()
    }

    /// Whether a request may go to a suspect: no server is sound, or it has waited for long.
    pub(super) fn is_desperate(&self, ask: &RequestInfo, since: Moment, now: Moment) -> bool {
        let patience = ask.target_latency.mul_f64(self.options.suspect_wait);
        let sound = self.servers.values().any(super::Entry::is_sound);
        now.saturating_sub(since) >= patience || !sound
    }
}
