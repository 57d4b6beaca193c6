//! Free slots of the owned servers.

use wb_health::ServerKey;
use wb_types::id::Moment;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::OwnedServer;
use crate::choice;
use crate::policy::Candidate;

/// Maximum number of candidates in a trace.
const CANDIDATES_MAX: usize = 8;

/// A server in rotation with a free slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvailableServer {
    pub(super) key: ServerKey,
    pub(super) free: u32,
    pub(super) score: f32,
}

impl OwnedServer {
    /// Maximum number of slots for long requests: half of the server's slots, at least 1.
    fn long_slots(&self) -> u32 {
        (self.server.slots / 2).max(1)
    }

    /// Maximum number of slots that this instance may use: the usable slots less those that others
    /// use, and no more than the cap after the server shed load.
    fn slot_limit(&self, usable: u32, now: Moment) -> u32 {
        let external = if now < self.external_until {
            self.external
        } else {
            0
        };
        let cap = if now < self.cap_until {
            self.cap
        } else {
            usable
        };
        usable.saturating_sub(external).min(cap)
    }
}

impl Dispatcher {
    /// Free slots of a server for requests of an expected duration, whether or not it is in
    /// rotation.
    pub(super) fn free_slots(
        &self,
        key: ServerKey,
        duration: ExpectedDuration,
        now: Moment,
    ) -> u32 {
        let Some(owned) = self.servers.get(key) else {
            return 0;
        };
        let usable = self.health.usable_slots(key, now);
        let free = owned.slot_limit(usable, now).saturating_sub(owned.busy);
        match duration {
            ExpectedDuration::Short => free,
            ExpectedDuration::Long => free.min(owned.long_slots().saturating_sub(owned.long)),
        }
    }

    /// Free slots of all servers in rotation.
    pub(super) fn total_free_slots(&self, duration: ExpectedDuration, now: Moment) -> u32 {
        self.servers
            .keys()
            .filter(|key| self.health.is_serving(*key))
            .map(|key| self.free_slots(key, duration, now))
            .sum()
    }

    /// Whether a server in rotation has a free slot.
    pub(super) fn has_free_slot(&self, duration: ExpectedDuration, now: Moment) -> bool {
        let mut keys = self.servers.keys();
        keys.any(|key| self.health.is_serving(key) && self.free_slots(key, duration, now) > 0)
    }

    /// Servers in rotation with a free slot, with their scores.
    pub(super) fn available_servers(
        &self,
        duration: ExpectedDuration,
        now: Moment,
    ) -> Vec<AvailableServer> {
        let mut found = Vec::new();
        for (key, owned) in &self.servers {
            if !self.health.is_serving(key) {
                continue;
            }
            let free = self.free_slots(key, duration, now);
            if free == 0 {
                continue;
            }
            let same_domain = owned.server.domain == self.options.domain;
            found.push(AvailableServer {
                key,
                free,
                score: choice::score(free, owned.server.slots, same_domain),
            });
        }
        found
    }

    /// The chosen server and the first of the others, for a trace.
    pub(super) fn candidates(
        &self,
        available: &[AvailableServer],
        chosen: usize,
    ) -> Vec<Candidate> {
        let others = (0..available.len()).filter(|index| *index != chosen);
        let kept = std::iter::once(chosen).chain(others).take(CANDIDATES_MAX);
        kept.map(|index| Candidate {
            name: self.servers[available[index].key].server.name.clone(),
            free: available[index].free,
            score: available[index].score,
        })
        .collect()
    }

    /// A server of which health evidence is needed, and which has a free slot.
    pub(super) fn mirror_target(&self, now: Moment) -> Option<ServerKey> {
        let mut keys = self.servers.keys();
        keys.find(|key| {
            self.health.wants_mirror(*key)
                && self.free_slots(*key, ExpectedDuration::Short, now) > 0
        })
    }
}
