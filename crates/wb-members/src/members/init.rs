//! A view and its candidates.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::member::MemberNews;
use wb_types::roster::Instance;
use wb_types::roster::Stay;

use super::Member;
use super::Membership;
use super::Options;

impl Membership {
    /// A view that knows only the instance itself.
    pub fn new(options: Options) -> Self {
        let me = MemberNews {
            name: options.instance.name.clone(),
            incarnation: options.incarnation,
            round: 0,
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
            if instance.name != self.options.instance.name {
                self.put_listed(instance, now);
            }
        }
        self.others
            .retain(|_, member| member.listed || member.news.liveness < Liveness::Dead);
    }

    fn put_listed(&mut self, instance: &Instance, now: Moment) {
        let known = self.unlisted.remove(&instance.name);
        let fresh = MemberNews {
            name: instance.name.clone(),
            incarnation: 0,
            round: 0,
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
        if instance.stay == Stay::Leaving && entry.news.liveness < Liveness::Left {
            entry.news.liveness = Liveness::Left;
        }
    }
}
