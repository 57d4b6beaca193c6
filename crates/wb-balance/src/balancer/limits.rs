//! Limits that servers name on the requests of all instances together.

use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::Balancer;
use super::LimitChange;
use super::ServerEntry;
use super::ServerKey;
use crate::limit::Audience;
use crate::limit::Division;
use crate::limit::Observation;
use crate::limit::Rate;

impl Balancer {
    /// Sets the homes among which servers' limits are divided.
    pub fn set_division(&mut self, division: Division, now: Moment) {
        if division == self.division {
            return;
        }
        let joined = division.is_home() && !self.division.is_home();
        self.division = division;
        for entry in self.servers.values_mut() {
            if joined {
                entry.limit.renew(now);
            }
            let server = &entry.server.name;
            entry.limit.divide(server, &self.division, now);
        }
        let is_listed = self.servers.values().any(ServerEntry::is_usable);
        self.limits_reduced |= is_listed && self.capacity() <= 0.0;
    }

    /// Records what a response says about the limit of its server. Returns the change, if there is
    /// one.
    pub fn observe_limit(
        &mut self,
        key: ServerKey,
        observation: Observation,
    ) -> Option<LimitChange> {
        let entry = self.servers.get_mut(key)?;
        let mut change = entry.observe_limit(observation, &self.division, observation.seen)?;
        change.is_news = entry.limit.take_news();
        self.limits_reduced |= change.is_reduction();
        Some(change)
    }

    /// Records what another instance reports about a server's limit. Returns the change, if there
    /// is one.
    pub fn observe_peer_limit(
        &mut self,
        server: &ServerName,
        observation: Observation,
        now: Moment,
    ) -> Option<LimitChange> {
        let key = *self.keys.get(server)?;
        let entry = self.servers.get_mut(key)?;
        let change = entry.observe_limit(observation, &self.division, now);
        // The reporter has told all other instances as well.
        entry.limit.take_news();
        self.limits_reduced |= change.as_ref().is_some_and(LimitChange::is_reduction);
        change
    }

    /// Limits that this instance is the one to report to these others.
    pub fn reported_limits(&self, to: Audience) -> Vec<(ServerName, Observation)> {
        let entries = self.servers.values();
        let reports =
            entries.filter_map(|entry| Some((entry.server.name.clone(), entry.limit.report(to)?)));
        reports.collect()
    }

    /// Forgets limits that nobody has confirmed for long.
    pub fn expire_limits(&mut self, now: Moment) -> Vec<LimitChange> {
        let division = &self.division;
        let expired = self.servers.values_mut().filter_map(|entry| {
            let before = entry.limit.rate();
            let expired = entry.limit.expire(division, now);
            expired.then(|| entry.limit_change(before))
        });
        expired.collect()
    }
}

impl LimitChange {
    fn is_reduction(&self) -> bool {
        let allowed = |rate: Option<Rate>| rate.unwrap_or(Rate::INFINITY);
        allowed(self.limit) < allowed(self.before)
    }
}

impl ServerEntry {
    fn observe_limit(
        &mut self,
        observation: Observation,
        division: &Division,
        now: Moment,
    ) -> Option<LimitChange> {
        let before = self.limit.rate();
        let changed = self
            .limit
            .observe(observation, &self.server.name, division, now);
        changed.then(|| self.limit_change(before))
    }

    fn limit_change(&self, before: Option<Rate>) -> LimitChange {
        LimitChange {
            server: self.server.name.clone(),
            limit: self.limit.rate(),
            before,
            is_news: false,
        }
    }
}
