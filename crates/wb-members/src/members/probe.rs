//! Choice of probe targets, and the results of probes.

use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::roster::Instance;

use super::LivenessChange;
use super::Membership;

/// One in this many probes goes to a dead member, so that both sides notice when a partition heals.
const DEAD_PROBE_INTERVAL: u32 = 8;

impl Membership {
    /// Next member to probe: each live one in turn, in an order that is shuffled for each round.
    pub fn next_probe(&mut self) -> Option<Instance> {
        self.probe_count = self.probe_count.wrapping_add(1);
        if self.probe_count.is_multiple_of(DEAD_PROBE_INTERVAL) {
            let dead = self
                .peers
                .values()
                .filter(|member| member.listed && member.update.liveness == Liveness::Dead);
            if let Some(member) = dead.choose(&mut self.rng) {
                return Some(member.instance.clone());
            }
        }
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                let member = self.peers.get(&name);
                let candidate = member.filter(|member| member.update.liveness < Liveness::Dead);
                if let Some(member) = candidate {
                    return Some(member.instance.clone());
                }
            }
            self.probe_order = self.peers.keys().cloned().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let any = self.peers.values().filter(|member| member.listed);
        any.choose(&mut self.rng)
            .map(|member| member.instance.clone())
    }

    /// Live members to ask for an indirect probe of another.
    pub fn probe_helpers(&mut self, target: &str, count: usize) -> Vec<Instance> {
        let live = self.peers.values().filter(|member| {
            member.update.liveness == Liveness::Alive && *member.instance.name != *target
        });
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen
            .into_iter()
            .map(|member| member.instance.clone())
            .collect()
    }

    /// Records that a probe by this instance was answered.
    pub fn record_probe_success(&mut self, now: Moment) {
        self.last_success = now;
    }

    /// Records that another instance called this one.
    pub fn record_inbound(&mut self, now: Moment) {
        self.last_inbound = now;
    }

    /// Records that neither a direct nor an indirect probe of a member was answered.
    pub fn record_probe_failure(
        &mut self,
        name: &InstanceName,
        now: Moment,
    ) -> Option<LivenessChange> {
        let member = self.peers.get(name)?;
        if member.update.liveness != Liveness::Alive {
            return None;
        }
        let mut update = member.update.clone();
        update.liveness = Liveness::Suspect;
        self.apply(update, now)
    }

    /// Marks suspects that did not refute in time as dead, and updates whether this instance is
    /// unreachable. The caller records no failed probes while this instance is isolated: the fault
    /// counts as its own until a probe is answered.
    pub fn tick(&mut self, now: Moment) -> Vec<LivenessChange> {
        let silent = now.saturating_sub(self.last_inbound) > self.options.isolation_timeout;
        self.unreachable = silent && !self.peers.is_empty() && !self.is_isolated(now);
        let limit = self.options.suspicion_timeout;
        let expired = self.peers.values().filter(|member| {
            member.update.liveness == Liveness::Suspect && now - member.since >= limit
        });
        let dead: Vec<_> = expired
            .map(|member| {
                let mut update = member.update.clone();
                update.liveness = Liveness::Dead;
                update
            })
            .collect();
        let mut changes = Vec::new();
        for update in dead {
            changes.extend(self.apply(update, now));
        }
        changes
    }
}
