//! Whom to probe, and what follows from the answers.

use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::roster::Instance;

use super::LivenessChange;
use super::Membership;

/// Of so many probes, one goes to a member that counts as dead, so that a healed partition is
/// noticed from both sides.
const DEAD_EVERY: u32 = 8;

impl Membership {
    /// Next member to probe: each live one in turn, in an order drawn anew for each round.
    pub fn next_probe(&mut self) -> Option<Instance> {
        self.tried = self.tried.wrapping_add(1);
        if self.tried.is_multiple_of(DEAD_EVERY) {
            let dead = self
                .others
                .values()
                .filter(|member| member.listed && member.news.liveness == Liveness::Dead);
            if let Some(member) = dead.choose(&mut self.rng) {
                return Some(member.instance.clone());
            }
        }
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                let member = self.others.get(&name);
                let open = member.filter(|member| member.news.liveness < Liveness::Dead);
                if let Some(member) = open {
                    return Some(member.instance.clone());
                }
            }
            self.round = self.others.keys().cloned().collect();
            self.round.shuffle(&mut self.rng);
        }
        let any = self.others.values().filter(|member| member.listed);
        any.choose(&mut self.rng)
            .map(|member| member.instance.clone())
    }

    /// Live members to ask for an indirect probe of another.
    pub fn probe_helpers(&mut self, target: &str, count: usize) -> Vec<Instance> {
        let live = self.others.values().filter(|member| {
            member.news.liveness == Liveness::Alive && *member.instance.name != *target
        });
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen
            .into_iter()
            .map(|member| member.instance.clone())
            .collect()
    }

    /// Notes that a probe of this instance was answered.
    pub fn record_probe_answer(&mut self, now: Moment) {
        self.answered = now;
    }

    /// Notes that another instance called this one.
    pub fn record_inbound(&mut self, now: Moment) {
        self.called = now;
    }

    /// Notes that neither a direct nor an indirect probe of a member was answered.
    pub fn record_probe_failure(
        &mut self,
        name: &InstanceName,
        now: Moment,
    ) -> Option<LivenessChange> {
        let member = self.others.get(name)?;
        if member.news.liveness != Liveness::Alive {
            return None;
        }
        let mut news = member.news.clone();
        news.liveness = Liveness::Suspect;
        self.put(news, now)
    }

    /// Ends suspicions that nobody refuted. An instance that is isolated convicts nobody: the
    /// fault is its own until some probe is answered.
    pub fn tick(&mut self, now: Moment) -> Vec<LivenessChange> {
        let silent = now.saturating_sub(self.called) > self.options.isolation_timeout;
        self.deaf = silent && !self.others.is_empty() && !self.is_isolated(now);
        let limit = self.options.suspicion_timeout;
        let over = self.others.values().filter(|member| {
            member.news.liveness == Liveness::Suspect && now - member.since >= limit
        });
        let dead: Vec<_> = over
            .map(|member| {
                let mut news = member.news.clone();
                news.liveness = Liveness::Dead;
                news
            })
            .collect();
        let mut changes = Vec::new();
        for news in dead {
            changes.extend(self.put(news, now));
        }
        changes
    }
}
