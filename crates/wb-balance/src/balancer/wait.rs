//! Requests that wait.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::RefusalCause;
use super::Released;
use super::WaitKey;
use super::Waiter;

/// Order in which waiting requests go: those that can still be answered within their objective
/// first, then by rank, then by arrival.
type Rank = (bool, u8, Moment);

impl Balancer {
    /// Requests that go now, and those that can't be served any more.
    pub fn release_waiting(&mut self, now: Moment) -> Vec<Released> {
        let mut released = self.expire(now);
        let mut keys: Vec<(Rank, WaitKey)> = self
            .waiting
            .iter()
            .map(|(key, waiter)| (self.rank(waiter, now), key))
            .collect();
        keys.sort();
        for (_, key) in keys {
            let waiter = &self.waiting[key];
            let desperate = self.is_desperate(&waiter.ask, waiter.since, now);
            let Some(server) = self.pick(&waiter.ask, desperate, now) else {
                continue;
            };
            self.waiting.remove(key);
            let result = Ok(self.grant(server, now));
            released.push(Released { key, result });
        }
        released
    }

    fn rank(&self, waiter: &Waiter, now: Moment) -> Rank {
        let ask = &waiter.ask;
        let late = now + self.typical_duration(&ask.route) > ask.arrived + ask.target_latency;
        (late, ask.priority, ask.arrived)
    }

    fn expire(&mut self, now: Moment) -> Vec<Released> {
        let late = |waiter: &Waiter| {
            let half = self.typical_duration(&waiter.ask.route) / 2;
            now + half > waiter.ask.deadline
        };
        let keys: Vec<WaitKey> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| late(waiter))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter()
            .map(|key| {
                self.waiting.remove(key);
                let result = Err(Self::refusal(RefusalCause::Deadline, Duration::ZERO));
                Released { key, result }
            })
            .collect()
    }

    /// Takes a request out whose caller went away.
    pub fn cancel(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }
}
