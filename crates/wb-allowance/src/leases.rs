//! The parts that an instance holds.

use std::collections::BTreeMap;

use wb_types::id::InstanceName;
use wb_types::id::Moment;

/// One leased part.
#[derive(Clone, Copy, Debug)]
struct Held {
    part: f64,
    until: Moment,
}

/// Parts that an instance holds, its own included.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    held: BTreeMap<InstanceName, Held>,
    total: f64,
    /// Integral of the total over time, in seconds.
    integral: f64,
    /// Time up to which the integral reaches.
    time: Moment,
}

impl Leases {
    /// No leases.
    pub fn new(now: Moment) -> Self {
        Self {
            time: now,
            ..Self::default()
        }
    }

    /// Sum of the parts, between 0 and 1.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Integral of the sum over time, in seconds.
    pub fn integral(&self) -> f64 {
        self.integral
    }

    /// Number of leases.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Goes on in time, up to the next end of a lease if one lies before `now`. Returns whether one
    /// does: the caller settles the buckets, and calls again.
    pub fn advance(&mut self, now: Moment) -> bool {
        let ends = self.held.values().map(|held| held.until);
        let next = ends.min().filter(|end| *end <= now);
        let upto = next.unwrap_or(now).max(self.time);
        self.integral += self.total * (upto - self.time).as_secs_f64();
        self.time = upto;
        next.is_some()
    }

    /// Removes the leases that have ended. Returns how many.
    pub fn expire(&mut self) -> usize {
        let before = self.held.len();
        self.held.retain(|_, held| held.until > self.time);
        self.update_total();
        before - self.held.len()
    }

    /// Whether a part of an instance is held of just that size. If so, only its end changes.
    pub fn renew(&mut self, from: &InstanceName, part: f64, until: Moment) -> bool {
        let Some(held) = self.held.get_mut(from) else {
            return false;
        };
        if held.part != part {
            return false;
        }
        held.until = held.until.max(until);
        true
    }

    /// Adds the part of an instance, or changes its size.
    pub fn insert(&mut self, from: InstanceName, part: f64, until: Moment) {
        self.held.insert(from, Held { part, until });
        self.update_total();
    }

    /// Gives the part of an instance back at once.
    pub fn remove(&mut self, from: &str) {
        self.held.remove(from);
        self.update_total();
    }

    fn update_total(&mut self) {
        let total: f64 = self.held.values().map(|held| held.part).sum();
        self.total = total.min(1.0);
    }
}
