//! Start of a membership, and the instances that the platform lists.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::member::MemberUpdate;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;

use super::Member;
use super::Membership;
use super::Options;

impl Membership {
    /// A membership that contains only this instance.
    pub fn new(options: Options) -> Self {
        let own = MemberUpdate {
            name: options.instance.name.clone(),
            incarnation: options.incarnation,
            revision: 0,
            liveness: Liveness::Alive,
        };
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            own,
            peers: Default::default(),
            unlisted: Default::default(),
            gossip: Vec::new(),
            probe_order: Vec::new(),
            last_success: Moment::ZERO,
            last_inbound: Moment::ZERO,
            unreachable: false,
            probe_count: 0,
        }
    }

    /// Sets the platform's list of instances. Listed instances count as alive until a probe fails;
    /// an instance that is no longer listed stays while it answers probes.
    pub fn set_listed(&mut self, listed: &[Instance], now: Moment) {
        for member in self.peers.values_mut() {
            member.listed = false;
        }
        for instance in listed {
            if instance.name != self.options.instance.name {
                self.upsert_listed(instance, now);
            }
        }
        self.peers
            .retain(|_, member| member.listed || member.update.liveness < Liveness::Dead);
    }

    fn upsert_listed(&mut self, instance: &Instance, now: Moment) {
        let known = self.unlisted.remove(&instance.name);
        let initial = MemberUpdate {
            name: instance.name.clone(),
            incarnation: 0,
            revision: 0,
            liveness: Liveness::Alive,
        };
        let entry = self
            .peers
            .entry(instance.name.clone())
            .or_insert_with(|| Member {
                update: known.unwrap_or(initial),
                instance: instance.clone(),
                since: now,
                listed: true,
            });
        entry.listed = true;
        entry.instance = instance.clone();
        if instance.lifecycle == Lifecycle::Leaving && entry.update.liveness < Liveness::Left {
            entry.update.liveness = Liveness::Left;
        }
    }
}
