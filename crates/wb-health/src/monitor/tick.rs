//! What happens by the passing of time.

use std::time::Duration;

use wb_types::id::Moment;

use super::HealthMonitor;
use super::Patient;
use super::ServerKey;
use super::StateChange;
use super::judge::step;
use crate::Options;
use crate::floor;

/// Doublings of the rest after which it no longer grows.
const FLAPS_MAX: u32 = 16;

impl HealthMonitor {
    /// Ends rests and trials, and brings servers back while the floor is not met.
    pub fn tick(&mut self, now: Moment) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let options = self.options.clone();
        for server in self.servers.values_mut() {
            changes.extend(pass_time(server, &options, now));
        }
        while let Some(change) = self.restore(now) {
            changes.push(change);
        }
        changes
    }

    /// Brings back the least bad ejected server if the floor is not met.
    fn restore(&mut self, now: Moment) -> Option<StateChange> {
        let capacities = self.capacities(now);
        if floor::serving_slots(&capacities) >= floor::required_slots(&capacities, self.floor) {
            return None;
        }
        let key = self.least_bad(now)?;
        let server = self.servers.get_mut(key)?;
        let mut change = step(server, "floor", now)?;
        server.score.reset(0.0);
        change.floor = true;
        Some(change)
    }

    fn least_bad(&self, now: Moment) -> Option<ServerKey> {
        let out = self.servers.iter().filter(|(_, server)| {
            !server.leaving
                && server.settled <= now
                && server.warm <= now
                && server.machine.accepts("floor")
        });
        let rate = |server: &Patient| server.score.rate(&self.options);
        out.min_by(|(_, a), (_, b)| rate(a).total_cmp(&rate(b)))
            .map(|(key, _)| key)
    }
}

fn pass_time(server: &mut Patient, options: &Options, now: Moment) -> Option<StateChange> {
    let passed = now.saturating_sub(server.since);
    match server.machine.state() {
        "ejected" if passed >= rest(server, options) => step(server, "rested", now),
        "trial" if passed >= options.trial_max => {
            server.score.reset(options.suspect_score);
            step(server, "recover", now)
        }
        "healthy" if passed >= options.ejection_memory => {
            server.flaps = 0;
            None
        }
        _ => None,
    }
}

fn rest(server: &Patient, options: &Options) -> Duration {
    let doubled = options.ejection_base * (1 << server.flaps.saturating_sub(1).min(FLAPS_MAX));
    doubled.min(options.ejection_max)
}
