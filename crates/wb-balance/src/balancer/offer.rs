//! Requests that come.

use std::time::Duration;

use wb_types::id::Moment;

use super::Ask;
use super::Balancer;
use super::Cause;
use super::Offer;
use super::Refusal;
use super::Waiter;

/// Part of the retry allowance that is kept for work of higher rank.
const KEEP: f64 = 0.3;
/// Part of the retry allowance that is kept from second sends beside a slow one, which would
/// mostly be answered anyway.
const KEEP_HEDGE: f64 = 0.6;
/// Shortest time until a refused request may come back.
pub const AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest time until a refused request may come back.
const AFTER_MAX: Duration = Duration::from_secs(5);

impl Balancer {
    /// Decides on a request that came from a caller.
    pub fn offer(&mut self, ask: Ask, now: Moment) -> Offer {
        self.budget.earn(now);
        self.urgent = self.urgent.min(ask.priority);
        self.decide(ask, now)
    }

    /// Decides on a request that a server has shed, or that may run again.
    pub fn again(&mut self, ask: Ask, now: Moment) -> Offer {
        let keep = if ask.priority > self.urgent {
            KEEP
        } else {
            0.0
        };
        self.decide_within(keep, ask, now)
    }

    /// Decides on a second send beside one that takes long. It never waits: the first one's answer
    /// may come meanwhile.
    pub fn beside(&mut self, ask: Ask, now: Moment) -> Offer {
        match self.decide_within(KEEP_HEDGE, ask, now) {
            Offer::Wait(key) => {
                self.cancel(key);
                Self::refuse(Cause::NoRoom, AFTER_MIN)
            }
            other => other,
        }
    }

    fn decide_within(&mut self, keep: f64, ask: Ask, now: Moment) -> Offer {
        if !self.budget.spend(keep, now) {
            return Self::refuse(Cause::RetryBudget, AFTER_MIN);
        }
        self.decide(ask, now)
    }

    /// Decides on a request of which no byte was handed over to the server that it was given to.
    pub fn elsewhere(&mut self, ask: Ask, now: Moment) -> Offer {
        self.decide(ask, now)
    }

    fn decide(&mut self, ask: Ask, now: Moment) -> Offer {
        let left = self
            .servers
            .iter()
            .any(|(key, entry)| entry.is_usable() && !ask.tried.contains(&key));
        if !left {
            return Self::refuse(Cause::NoServer, AFTER_MIN);
        }
        let ahead = self.ahead(&ask);
        let key = if ahead == 0 {
            self.pick(&ask, self.is_desperate(&ask, now, now), now)
        } else {
            // A trial takes no slot that those who wait could have.
            self.due(&ask, now)
        };
        if let Some(key) = key {
            return Offer::Go(self.grant(key, now));
        }
        let wait = self.wait(ahead + 1);
        let usual = self.usual(&ask.route);
        let room = ask.deadline.saturating_sub(now);
        if self.waiting.len() >= self.options.queue || wait.saturating_add(usual) > room {
            let after = wait.saturating_add(usual).saturating_sub(room);
            return Self::refuse(Cause::NoRoom, after);
        }
        Offer::Wait(self.waiting.insert(Waiter { ask, since: now }))
    }

    fn refuse(cause: Cause, after: Duration) -> Offer {
        Offer::Refuse(Self::refusal(cause, after))
    }

    pub(super) fn refusal(cause: Cause, after: Duration) -> Refusal {
        Refusal {
            cause,
            after: after.clamp(AFTER_MIN, AFTER_MAX),
        }
    }

    /// Waiting requests of the same or a higher rank.
    fn ahead(&self, ask: &Ask) -> usize {
        let waiting = self.waiting.values();
        waiting
            .filter(|waiter| waiter.ask.priority <= ask.priority)
            .count()
    }

    /// Whether a request may go to a suspect: no server is sound, or it has waited for long.
    pub(super) fn is_desperate(&self, ask: &Ask, since: Moment, now: Moment) -> bool {
        let patience = ask.objective.mul_f64(self.options.patience);
        let sound = self.servers.values().any(super::Entry::is_sound);
        now.saturating_sub(since) >= patience || !sound
    }
}
