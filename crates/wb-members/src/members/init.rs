//! A view and its candidates.

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
    /// A view that knows only the instance itself.
    pub fn new(options: Options) -> Self {
        let me = MemberUpdate {
            name: options.own.name.clone(),
            incarnation: options.incarnation,
            revision: 0,
            liveness: Liveness::Alive,
        };
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            me,
            others: Default::default(),
            unlisted: Default::default(),
            rumours: Vec::new(),
            round: Vec::new(),
            answered: Moment::ZERO,
            called: Moment::ZERO,
            deaf: false,
            tried: 0,
        }
    }

    /// Takes the platform's list: candidates, not the truth. New names count as alive until a
    /// probe says otherwise; names that left the list stay while they answer probes.
    pub fn set_listed(&mut self, listed: &[Instance], now: Moment) {
        for member in self.others.values_mut() {
            member.listed = false;
        }
        for instance in listed {
            if instance.name != self.options.own.name {
                self.put_listed(instance, now);
            }
        }
        self.others
            .retain(|_, member| member.listed || member.news.liveness < Liveness::Dead);
    }

    fn put_listed(&mut self, instance: &Instance, now: Moment) {
        let known = self.unlisted.remove(&instance.name);
        let fresh = MemberUpdate {
            name: instance.name.clone(),
            incarnation: 0,
            revision: 0,
            liveness: Liveness::Alive,
        };
        let entry = self
            .others
            .entry(instance.name.clone())
            .or_insert_with(|| Member {
                news: known.unwrap_or(fresh),
                instance: instance.clone(),
                since: now,
                listed: true,
            });
        entry.listed = true;
        entry.instance = instance.clone();
        if instance.lifecycle == Lifecycle::Leaving && entry.news.liveness < Liveness::Left {
            entry.news.liveness = Liveness::Left;
        }
    }
}
