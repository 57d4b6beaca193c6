//! Queries on the state of a service.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::ServerName;
use wb_types::roster::Lifecycle;

use super::Balancer;
use super::ServerEntry;
use crate::RetryBudget;

/// Ratio of a route's latency target to the duration of its requests that is assumed until one was
/// seen: the users' targets are three to five times the usual duration.
const TARGET_RATIO: u32 = 4;

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
}

impl Balancer {
    pub(super) fn by_name(&mut self, server: &str) -> Option<&mut ServerEntry> {
        let key = *self.keys.get(server)?;
        self.servers.get_mut(key)
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

    /// Moving average of the duration of a route's requests. Until one was seen, a share of the
    /// route's latency target, or the average over all routes if it has none.
    pub fn typical_duration(&self, route: &str, target: Duration) -> Duration {
        match self.route_durations.get(route) {
            Some(seconds) => Duration::from_secs_f64(*seconds),
            None if target.is_zero() => Duration::from_secs_f64(self.mean_duration),
            None => target / TARGET_RATIO,
        }
    }

    /// Slots of the servers that are not suspect, or of all usable servers if every one is.
    pub(super) fn healthy_slots(&self) -> u32 {
        let usable = || self.servers.values().filter(|entry| entry.is_usable());
        let healthy: u32 = usable()
            .filter(|entry| entry.is_healthy())
            .map(|entry| entry.server.slots)
            .sum();
        if healthy > 0 {
            return healthy;
        }
        usable().map(|entry| entry.server.slots).sum()
    }

    /// Estimated wait until `ahead` requests have got a slot, as long as the set of healthy servers
    /// does not change.
    pub(super) fn estimate_wait(&self, ahead: usize) -> Duration {
        let slots = f64::from(self.healthy_slots()) * self.share;
        if slots <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(ahead as f64 * self.mean_duration / slots)
    }
}
