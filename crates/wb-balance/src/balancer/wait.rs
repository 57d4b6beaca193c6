//! Queued requests.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::RefusalCause;
use super::Released;
use super::ServerEntry;
use super::WaitKey;
use super::Waiter;

/// Order of the queue: requests that can still meet their latency target first, then by priority,
/// then by arrival.
type QueueOrder = (bool, u8, Moment);

impl Balancer {
    /// Takes requests out of the queue: those that get a slot now, and those that can no longer be
    /// served in time.
    pub fn release_queued(&mut self, now: Moment) -> Vec<Released> {
        let mut released = self.expire(now);
        if !self.servers.values().any(|entry| entry.is_open(now)) {
            return released;
        }
        let mut keys: Vec<(QueueOrder, WaitKey)> = self
            .queue
            .iter()
            .map(|(key, waiter)| (self.queue_order(waiter, now), key))
            .collect();
        keys.sort();
        for (_, key) in keys {
            let waiter = &self.queue[key];
            let allow_suspect = self.may_use_suspect(&waiter.request, waiter.since, now);
            let Some(server) = self.pick(&waiter.request, allow_suspect, now) else {
                continue;
            };
            self.queue.remove(key);
            let result = Ok(self.assign(server, now));
            released.push(Released { key, result });
        }
        released
    }

    fn queue_order(&self, waiter: &Waiter, now: Moment) -> QueueOrder {
        let request = &waiter.request;
        let typical = self.typical_duration(&request.route, request.target_latency);
        let late = now + typical > request.arrived + request.target_latency;
        (late, request.priority, request.arrived)
    }

    /// Takes out requests that can no longer be served in time, or not by this instance: other
    /// instances have come to hold the limits of all servers.
    fn expire(&mut self, now: Moment) -> Vec<Released> {
        let is_listed = self.servers.values().any(ServerEntry::is_usable);
        let cause = if is_listed && self.capacity() <= 0.0 {
            RefusalCause::NoRoom
        } else {
            RefusalCause::Deadline
        };
        let late = |waiter: &Waiter| {
            let request = &waiter.request;
            let half = self.typical_duration(&request.route, request.target_latency) / 2;
            cause == RefusalCause::NoRoom || now + half > request.deadline
        };
        let keys: Vec<WaitKey> = self
            .queue
            .iter()
            .filter(|(_, waiter)| late(waiter))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter()
            .map(|key| {
                self.queue.remove(key);
                let result = Err(Self::refusal(cause, Duration::ZERO));
                Released { key, result }
            })
            .collect()
    }

    /// Drops a queued request whose caller disconnected.
    pub fn cancel(&mut self, key: WaitKey) {
        self.queue.remove(key);
    }
}
