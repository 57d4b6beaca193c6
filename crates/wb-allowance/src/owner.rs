//! To whom an instance leases its own part.

use std::time::Duration;

use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

use crate::Credit;
use crate::Offer;
use crate::hold_time;
use crate::lease_time;

/// Time for which an instance that is gone still counts as the owner of a part: another one may not
/// know yet that it is gone.
const PEAK_TIME: Duration = Duration::from_secs(10);

/// Holder of the part.
#[derive(Clone, Debug)]
struct Holder {
    name: InstanceName,
    /// Until then it may use the part.
    until: Moment,
}

/// Number of instances, never fewer than a moment ago.
#[derive(Clone, Copy, Debug)]
struct Peak {
    count: usize,
    at: Moment,
}

/// The own part of an instance.
#[derive(Clone, Debug)]
pub struct Owner {
    name: InstanceName,
    /// When the process started: for the duration of a lease, a former one may have leased the part.
    started: Moment,
    /// Whether no former process has leased the part.
    first_start: bool,
    /// When the last offer arrived; the start before the first.
    heard: Moment,
    holder: Option<Holder>,
    /// The first holder, and its process start; `None` before the first lease.
    first: Option<(InstanceName, Incarnation)>,
    credit: Credit,
    members: Option<Peak>,
}

impl Owner {
    /// The part of an instance whose process has just started. At the first start of the system, no
    /// former process has leased it.
    pub fn new(name: InstanceName, first_start: bool, now: Moment) -> Self {
        let credit = if first_start {
            Credit::Full
        } else {
            Credit::Start
        };
        Self {
            name,
            started: now,
            first_start,
            heard: now,
            holder: None,
            first: None,
            credit,
            members: None,
        }
    }

    /// Sets the number of instances, this one included.
    pub fn set_members(&mut self, count: usize, now: Moment) {
        let peak = self.members.get_or_insert(Peak { count, at: now });
        if count >= peak.count || now.saturating_sub(peak.at) > PEAK_TIME {
            *peak = Peak { count, at: now };
        }
    }

    /// Part of every allowance that an instance owns; 0 before the instances are known.
    pub fn part(&self) -> f64 {
        let members = self.members.map_or(0, |peak| peak.count);
        if members == 0 {
            return 0.0;
        }
        1.0 / members as f64
    }

    /// Whether nobody else may hold the part.
    fn is_free_for(&self, name: &str, now: Moment) -> bool {
        let holder = self.holder.as_ref();
        let held = holder.is_some_and(|holder| &*holder.name != name && holder.until > now);
        self.is_settled(now) && self.members.is_some() && !held
    }

    /// Whether no former process of the instance may have leased the part.
    fn is_settled(&self, now: Moment) -> bool {
        self.first_start || now >= self.started + self.hold_time()
    }

    /// Time for which a lease may run, at the most.
    fn hold_time(&self) -> Duration {
        hold_time(lease_time(self.members.map_or(0, |peak| peak.count)))
    }

    /// Leases the part to the sender of an offer. Returns the tokens that come with it and whether the
    /// part comes as well, or `None` if there is neither. The tokens don't wait until leases of a former
    /// process have ended.
    pub fn lease(&mut self, offer: &Offer, now: Moment) -> Option<(Credit, bool)> {
        self.heard = now;
        if self.is_own() {
            self.holder = None;
        }
        let free = self.is_free_for(&offer.from, now);
        if free {
            self.hold(offer.from.clone(), now + hold_time(offer.lasts));
        }
        let waits = !self.is_settled(now) && self.members.is_some();
        let credit = (free || waits).then(|| self.credit_for(&offer.from, offer.incarnation))?;
        (free || credit != Credit::None).then_some((credit, free))
    }

    /// Uses the part on this instance itself, if nobody else may hold it. Returns the tokens that
    /// come with it.
    pub fn keep(&mut self, incarnation: Incarnation, now: Moment) -> Option<Credit> {
        if !self.is_free_for(&self.name, now) {
            return None;
        }
        self.hold(self.name.clone(), now + self.hold_time());
        let name = self.name.clone();
        Some(self.credit_for(&name, incarnation))
    }

    /// Returns the tokens that come with the own part while a former process may still have leased it.
    pub fn early_credit(&mut self, incarnation: Incarnation, now: Moment) -> Credit {
        if self.is_settled(now) || self.members.is_none() {
            return Credit::None;
        }
        let name = self.name.clone();
        self.credit_for(&name, incarnation)
    }

    /// Whether no home has asked for the part for the duration of a lease.
    pub fn is_forgotten(&self, now: Moment) -> bool {
        now.saturating_sub(self.heard) > self.hold_time()
    }

    /// Whether this instance itself holds the part.
    pub fn is_own(&self) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.name == self.name)
    }

    fn hold(&mut self, name: InstanceName, until: Moment) {
        self.holder = Some(Holder { name, until });
    }

    /// Only the first holder gets the credit. It is repeated, since leases may be lost; the holder
    /// counts it once.
    fn credit_for(&mut self, name: &InstanceName, incarnation: Incarnation) -> Credit {
        let (first, process) = self
            .first
            .get_or_insert_with(|| (name.clone(), incarnation));
        if first == name && *process == incarnation {
            self.credit
        } else {
            Credit::None
        }
    }
}
