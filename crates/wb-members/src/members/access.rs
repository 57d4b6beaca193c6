//! Reading the view.

use wb_types::id::Incarnation;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::roster::Instance;

use super::Membership;

impl Membership {
    /// All instances that count as members: this one if it stays, and the live and suspect ones.
    pub fn live(&self) -> Vec<Instance> {
        let others = self.others.values();
        let mut live: Vec<Instance> = others
            .filter(|member| member.news.liveness <= Liveness::Suspect)
            .map(|member| member.instance.clone())
            .collect();
        if self.me.liveness == Liveness::Alive && !self.deaf {
            live.push(self.options.own.clone());
        }
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Liveness of an instance, if it is known.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        if name == &*self.me.name {
            return Some(self.me.liveness);
        }
        self.others.get(name).map(|member| member.news.liveness)
    }

    /// The process start of an instance that is known last.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        if name == &*self.me.name {
            return Some(self.me.incarnation);
        }
        self.others.get(name).map(|member| member.news.incarnation)
    }

    /// An instance by name, whatever its liveness.
    pub fn find(&self, name: &str) -> Option<&Instance> {
        if name == &*self.me.name {
            return Some(&self.options.own);
        }
        self.others.get(name).map(|member| &member.instance)
    }

    /// Whether no probe was answered for a while although there are others to answer.
    pub fn is_isolated(&self, now: Moment) -> bool {
        !self.others.is_empty()
            && now.saturating_sub(self.answered) > self.options.isolation_timeout
    }

    /// Whether others answer this instance but none calls it any more: what they send does not
    /// arrive.
    pub fn is_unreachable(&self) -> bool {
        self.deaf
    }

    /// Instances that may be named to callers.
    pub fn advertised(&self, now: Moment) -> Vec<Instance> {
        let mut named = self.live();
        let isolated = self.is_isolated(now);
        named.retain(|instance| {
            if instance.name == self.me.name {
                return !isolated;
            }
            self.liveness(&instance.name) == Some(Liveness::Alive)
        });
        named
    }
}
