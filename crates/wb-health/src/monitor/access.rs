//! Queries for the choice of a server.

use std::time::Duration;

use wb_types::id::Moment;

use super::HealthMonitor;
use super::MonitoredServer;
use super::ServerKey;
use crate::floor::Capacity;

/// Share of its slots that a server may use at the start of its warm-up.
const WARMUP_SHARE: f64 = 0.2;

impl MonitoredServer {
    /// Whether the server is in a state in which it is in rotation.
    pub(super) fn in_rotation(&self) -> bool {
        self.in_rotation
    }

    fn warm_share(&self, now: Moment, warmup: Duration) -> f64 {
        let left = self.warm_at.saturating_sub(now).as_secs_f64();
        let done = 1.0 - left / warmup.as_secs_f64();
        WARMUP_SHARE + (1.0 - WARMUP_SHARE) * done
    }
}

impl HealthMonitor {
    /// Keys of all servers.
    pub fn keys(&self) -> impl Iterator<Item = ServerKey> {
        self.servers.keys()
    }

    /// Whether callers' requests may go to a server.
    pub fn is_serving(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| !server.leaving && server.in_rotation())
    }

    /// Whether mirrored idempotent requests are wanted as evidence about a server.
    pub fn wants_mirror(&self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        !server.leaving && matches!(server.machine.state(), "suspect" | "trial")
    }

    /// Whether a server is leaving.
    pub fn is_leaving(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.leaving)
    }

    /// Slots of a server that may be used now: fewer while it warms up, but at least 1.
    pub fn usable_slots(&self, key: ServerKey, now: Moment) -> u32 {
        let Some(server) = self.servers.get(key) else {
            return 0;
        };
        let share = server.warm_share(now, self.options.warmup);
        let usable = (f64::from(server.slots) * share).floor();
        (usable as u32).clamp(1, server.slots.max(1))
    }

    /// Health state of a server; `gone` if it is unknown.
    pub fn state(&self, key: ServerKey) -> &str {
        let server = self.servers.get(key);
        server.map_or("gone", |server| server.machine.state())
    }

    /// Score of a server, in nats; 0 if it is unknown.
    pub fn score(&self, key: ServerKey) -> f64 {
        self.servers
            .get(key)
            .map_or(0.0, |server| server.score.value())
    }

    /// Median duration of short requests, once known.
    pub fn median_duration(&self) -> Option<Duration> {
        self.baseline.median()
    }

    /// Time after which a short request in flight is overdue.
    pub fn overdue_after(&self) -> Duration {
        match self.baseline.median() {
            Some(median) => median
                .mul_f64(self.options.slow_factor)
                .max(self.options.overdue_min),
            None => Duration::from_secs(1),
        }
    }

    /// Slots of the servers that can take requests now.
    pub fn healthy_slots(&self, now: Moment) -> u32 {
        let slots = crate::floor::serving_slots(&self.capacities(now));
        u32::try_from(slots).unwrap_or(u32::MAX)
    }

    /// Capacities that count for the floor. A server that has just been taken over is left out.
    pub fn capacities(&self, now: Moment) -> Vec<Capacity> {
        let settled = self
            .servers
            .values()
            .filter(|server| server.settled_at <= now);
        settled
            .map(|server| Capacity {
                slots: server.slots,
                serving: server.in_rotation() && !server.leaving && server.warm_at <= now,
            })
            .collect()
    }
}
