//! State changes after a time: ends of ejections and trials, and returns by the floor.

use std::time::Duration;

use wb_types::id::Moment;

use super::HealthMonitor;
use super::MonitoredServer;
use super::ServerKey;
use super::StateChange;
use super::evidence::apply_event;
use crate::Options;
use crate::floor;

/// Largest number of doublings of the ejection time; keeps the shift in range.
const DOUBLINGS_MAX: u32 = 16;

impl HealthMonitor {
    /// Ends ejections and trials whose time is over, and brings servers back while the floor is not
    /// met.
    pub fn tick(&mut self, now: Moment) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let options = self.options.clone();
        for server in self.servers.values_mut() {
            changes.extend(apply_time(server, &options, now));
        }
        while let Some(change) = self.restore(now) {
            changes.push(change);
        }
        changes
    }

    /// Brings back the ejected server with the lowest rate of bad results if the floor is not met.
    fn restore(&mut self, now: Moment) -> Option<StateChange> {
        let capacities = self.capacities(now);
        if floor::serving_slots(&capacities) >= floor::required_slots(&capacities, self.floor) {
            return None;
        }
        let key = self.least_failing(now)?;
        let server = self.servers.get_mut(key)?;
        let mut change = apply_event(server, "floor", now)?;
        server.score.reset(0.0);
        change.floor = true;
        Some(change)
    }

    fn least_failing(&self, now: Moment) -> Option<ServerKey> {
        let out = self.servers.iter().filter(|(_, server)| {
            !server.leaving
                && server.settled_at <= now
                && server.warm_at <= now
                && server.machine.accepts("floor")
        });
        let rate = |server: &MonitoredServer| server.score.rate(&self.options);
        out.min_by(|(_, a), (_, b)| rate(a).total_cmp(&rate(b)))
            .map(|(key, _)| key)
    }
}

fn apply_time(server: &mut MonitoredServer, options: &Options, now: Moment) -> Option<StateChange> {
    let passed = now.saturating_sub(server.state_since);
    match server.machine.state() {
        "ejected" if passed >= ejection_time(server, options) => apply_event(server, "rested", now),
        "trial" if passed >= options.trial_max => {
            server.score.reset(options.suspect_score);
            apply_event(server, "recover", now)
        }
        "healthy" if passed >= options.ejection_memory => {
            server.ejections = 0;
            None
        }
        _ => None,
    }
}

fn ejection_time(server: &MonitoredServer, options: &Options) -> Duration {
    let time = options.ejection_base * (1 << server.ejections.saturating_sub(1).min(DOUBLINGS_MAX));
    time.min(options.ejection_max)
}
