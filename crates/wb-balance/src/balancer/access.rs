//! Queries on the state of a service.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Lifecycle;

use super::Balancer;
use super::ServerEntry;
use super::ServerKey;
use crate::HedgeLimit;
use crate::Hedging;
use crate::RetryBudget;
use crate::limit::Rate;
use crate::pause;
use crate::pause::Capacity;

impl ServerEntry {
    /// Requests in flight at the server: this instance's own and those that peers reported.
    pub(super) fn load(&self) -> u32 {
        self.own_running + self.peer_running.values().sum::<u32>()
    }

    /// Whether the server takes regular requests and not only trials.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_usable() && !self.detector.is_suspect()
    }

    /// Whether the server may be sent any request, trials included.
    pub(super) fn is_usable(&self) -> bool {
        self.server.lifecycle == Lifecycle::Live && !self.misdirected
    }

    /// Whether the server may be sent a request now, as far as its limit and pause go. Every choice
    /// of a server depends on it.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        self.is_usable() && !self.is_paused(now) && self.limit.admits(now)
    }

    /// Whether the server wants no requests of this instance now.
    pub(super) fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }
}

impl Balancer {
    pub(super) fn by_name(&mut self, server: &str) -> Option<&mut ServerEntry> {
        let key = *self.keys.get(server)?;
        self.servers.get_mut(key)
    }

    /// Whether a request that was assigned to a server may still be sent there: the server may have
    /// begun to leave, have left or asked for a pause while the connection was opened.
    pub fn may_send(&self, key: ServerKey, now: Moment) -> bool {
        let entry = self.servers.get(key);
        entry.is_some_and(|entry| entry.is_usable() && !entry.is_paused(now))
    }

    /// Sends a server no requests for some time, since it has asked for that. Returns whether that is
    /// later than it had asked before.
    pub fn pause(&mut self, key: ServerKey, pause: Duration, now: Moment) -> bool {
        let Some(entry) = self.servers.get_mut(key) else {
            return false;
        };
        let until = now + pause;
        if until <= entry.paused_until.max(now) {
            return false;
        }
        entry.paused_until = until;
        self.limits_reduced = true;
        true
    }

    /// Number of servers that want no requests of this instance now.
    pub fn paused_count(&self, now: Moment) -> usize {
        let entries = self.servers.values();
        entries.filter(|entry| entry.is_paused(now)).count()
    }

    /// Own requests in flight, for each server that has any. Marks all counts as reported to peers.
    pub fn report_running(&mut self) -> HashMap<ServerName, u32> {
        self.report(|entry| entry.own_running > 0)
    }

    /// Own requests in flight, for each server whose count changed since the last report. Marks all
    /// counts as reported to peers.
    pub fn report_running_changes(&mut self) -> HashMap<ServerName, u32> {
        self.report(|entry| entry.own_running != entry.reported_running)
    }

    fn report(&mut self, due: impl Fn(&ServerEntry) -> bool) -> HashMap<ServerName, u32> {
        let mut reported = HashMap::new();
        for entry in self.servers.values_mut() {
            if due(entry) {
                reported.insert(entry.server.name.clone(), entry.own_running);
            }
            entry.reported_running = entry.own_running;
        }
        reported
    }

    /// Own requests in flight at all servers.
    pub fn own_running(&self) -> usize {
        let running: u32 = self.servers.values().map(|entry| entry.own_running).sum();
        running as usize
    }

    /// Requests in flight at all servers that peers have reported.
    pub fn peer_running(&self) -> usize {
        let counts = self
            .servers
            .values()
            .map(|entry| entry.peer_running.values());
        let running: u32 = counts.flatten().sum();
        running as usize
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of servers that may be sent requests, suspects included.
    pub fn usable_count(&self) -> usize {
        self.servers
            .values()
            .filter(|entry| entry.is_usable())
            .count()
    }

    /// Number of suspect servers, which get trial requests only.
    pub fn suspect_count(&self) -> usize {
        self.servers
            .values()
            .filter(|entry| entry.is_usable() && entry.detector.is_suspect())
            .count()
    }

    /// Number of servers with a known limit.
    pub fn limited_count(&self) -> usize {
        let entries = self.servers.values();
        entries.filter(|entry| entry.limit.rate().is_some()).count()
    }

    /// Budget of retries and hedged sends.
    pub fn retry_budget(&mut self) -> &mut RetryBudget {
        &mut self.retry_budget
    }

    /// Limits hedged sends; without a limit they are bounded by the retry budget alone.
    pub fn limit_hedges(&mut self, limit: Option<HedgeLimit>) {
        self.hedging = limit.map(Hedging::new);
    }

    /// Hedged sends within the operators' limit; `None` if they name none.
    pub fn hedging(&mut self) -> Option<&mut Hedging> {
        self.hedging.as_mut()
    }

    /// Usual duration of a route's requests; until one was seen, a share of the route's latency target,
    /// or the average over all routes if it has none.
    pub fn typical_duration(&self, route: &str, target: Duration) -> Duration {
        self.durations.typical(route, target)
    }

    /// Requests per second that this instance can send to the servers that are not suspect, or to
    /// all usable servers if every one is.
    pub(super) fn capacity(&self) -> Rate {
        let capacities = self.capacities();
        capacities.iter().map(|capacity| capacity.rate).sum()
    }

    /// The same for each server, from the end of its pause on.
    fn capacities(&self) -> Vec<Capacity> {
        let by_slots = self.share / self.durations.mean();
        let capacity = |entry: &ServerEntry| {
            let rate = f64::from(entry.server.slots) * by_slots;
            Capacity {
                from: entry.paused_until,
                rate: entry.limit.part().map_or(rate, |part| part.min(rate)),
            }
        };
        let usable = || self.servers.values().filter(|entry| entry.is_usable());
        if usable().any(ServerEntry::is_healthy) {
            let healthy = usable().filter(|entry| entry.is_healthy());
            return healthy.map(capacity).collect();
        }
        usable().map(capacity).collect()
    }

    /// Estimated wait until `ahead` requests have got a slot, as long as the set of healthy servers
    /// does not change. `None` if this instance may send no requests.
    pub(super) fn estimate_wait(&self, ahead: usize, now: Moment) -> Option<Duration> {
        pause::wait_for(ahead as f64, &mut self.capacities(), now)
    }
}
