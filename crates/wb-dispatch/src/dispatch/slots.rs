//! Slots of the owned servers.

use wb_health::ServerKey;
use wb_types::id::Moment;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::Usage;
use crate::choice;
use crate::policy::Candidate;

/// Candidates that an trace keeps.
const CANDIDATES_MAX: usize = 8;

/// A server in rotation with a free slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) key: ServerKey,
    pub(super) free: u32,
    pub(super) score: f32,
}

impl Usage {
    /// Slots that long work may hold.
    fn long_slots(&self) -> u32 {
        (self.server.slots / 2).max(1)
    }

    fn limit(&self, usable: u32, now: Moment) -> u32 {
        let foreign = if now < self.foreign_until {
            self.foreign
        } else {
            0
        };
        let cap = if now < self.cap_until {
            self.cap
        } else {
            usable
        };
        usable.saturating_sub(foreign).min(cap)
    }
}

impl Dispatcher {
    /// Free slots of a server for work of a length, whatever its health.
    pub(super) fn free(&self, key: ServerKey, length: ExpectedDuration, now: Moment) -> u32 {
        let Some(usage) = self.usage.get(key) else {
            return 0;
        };
        let usable = self.ward.usable_slots(key, now);
        let free = usage.limit(usable, now).saturating_sub(usage.busy);
        match length {
            ExpectedDuration::Short => free,
            ExpectedDuration::Long => free.min(usage.long_slots().saturating_sub(usage.long)),
        }
    }

    /// Free slots of all servers in rotation.
    pub(super) fn free_all(&self, length: ExpectedDuration, now: Moment) -> u32 {
        self.usage
            .keys()
            .filter(|key| self.ward.is_serving(*key))
            .map(|key| self.free(key, length, now))
            .sum()
    }

    /// Whether a server in rotation has a free slot.
    pub(super) fn has_room(&self, length: ExpectedDuration, now: Moment) -> bool {
        let mut keys = self.usage.keys();
        keys.any(|key| self.ward.is_serving(key) && self.free(key, length, now) > 0)
    }

    /// Servers in rotation with a free slot, scored.
    pub(super) fn open(&self, length: ExpectedDuration, now: Moment) -> Vec<Open> {
        let mut found = Vec::new();
        for (key, usage) in &self.usage {
            if !self.ward.is_serving(key) {
                continue;
            }
            let free = self.free(key, length, now);
            if free == 0 {
                continue;
            }
            let near = usage.server.domain == self.options.domain;
            found.push(Open {
                key,
                free,
                score: choice::score(free, usage.server.slots, near),
            });
        }
        found
    }

    /// The chosen server and the first of the others, as an trace keeps them.
    pub(super) fn candidates(&self, open: &[Open], chosen: usize) -> Vec<Candidate> {
        let others = (0..open.len()).filter(|index| *index != chosen);
        let kept = std::iter::once(chosen).chain(others).take(CANDIDATES_MAX);
        kept.map(|index| Candidate {
            name: self.usage[open[index].key].server.name.clone(),
            free: open[index].free,
            score: open[index].score,
        })
        .collect()
    }

    /// A server that needs evidence and has a free slot.
    pub(super) fn mirror_target(&self, now: Moment) -> Option<ServerKey> {
        let mut keys = self.usage.keys();
        keys.find(|key| {
            self.ward.wants_copies(*key) && self.free(*key, ExpectedDuration::Short, now) > 0
        })
    }
}
