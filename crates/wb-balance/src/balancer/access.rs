//! What is known of the service.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::ServerName;
use wb_types::roster::Lifecycle;

use super::Balancer;
use super::Entry;
use crate::RetryBudget;

impl Entry {
    /// Requests running there, of all instances as far as known.
    pub(super) fn load(&self) -> u32 {
        self.running + self.others.values().sum::<u32>()
    }

    /// Whether it gets any work, not trials only.
    pub(super) fn is_sound(&self) -> bool {
        self.is_usable() && !self.trust.is_suspect()
    }

    /// Whether it may get work at all.
    pub(super) fn is_usable(&self) -> bool {
        self.server.lifecycle == Lifecycle::Live && !self.misplaced
    }
}

impl Balancer {
    pub(super) fn named(&mut self, server: &str) -> Option<&mut Entry> {
        let key = *self.names.get(server)?;
        self.servers.get_mut(key)
    }

    /// Own requests running at each server that has any. Others are taken to be told.
    pub fn report_running(&mut self) -> HashMap<ServerName, u32> {
        self.tell(|entry| entry.running > 0)
    }

    /// Requests that run at each server where their number has changed since others were told;
    /// they are taken to be told now.
    pub fn report_running_changes(&mut self) -> HashMap<ServerName, u32> {
        self.tell(|entry| entry.running != entry.told)
    }

    fn tell(&mut self, fits: impl Fn(&Entry) -> bool) -> HashMap<ServerName, u32> {
        let mut told = HashMap::new();
        for entry in self.servers.values_mut() {
            if fits(entry) {
                told.insert(entry.server.name.clone(), entry.running);
            }
            entry.told = entry.running;
        }
        told
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Servers that may get work.
    pub fn usable_count(&self) -> usize {
        self.servers
            .values()
            .filter(|entry| entry.is_usable())
            .count()
    }

    /// Servers that get trials only.
    pub fn suspect_count(&self) -> usize {
        self.servers
            .values()
            .filter(|entry| entry.is_usable() && entry.trust.is_suspect())
            .count()
    }

    /// Bound on further sends.
    pub fn retry_budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Usual duration of a request of a route.
    pub fn typical_duration(&self, route: &str) -> Duration {
        let seconds = self.usual.get(route).copied().unwrap_or(self.mean);
        Duration::from_secs_f64(seconds)
    }

    /// Slots of the servers that are not suspect, or of all if all are.
    pub(super) fn sound_slots(&self) -> u32 {
        let usable = || self.servers.values().filter(|entry| entry.is_usable());
        let sound: u32 = usable()
            .filter(|entry| entry.is_sound())
            .map(|entry| entry.server.slots)
            .sum();
        if sound > 0 {
            return sound;
        }
        usable().map(|entry| entry.server.slots).sum()
    }

    /// Time until work that comes now has a slot, as long as sound servers are what they are.
    pub(super) fn wait(&self, ahead: usize) -> Duration {
        let slots = f64::from(self.sound_slots()) * self.part;
        if slots <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(ahead as f64 * self.mean / slots)
    }
}
