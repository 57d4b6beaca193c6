//! Queries on the membership.

use wb_types::id::Incarnation;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::roster::Instance;

use super::Membership;

impl Membership {
    /// All instances that count as members: the live and suspect ones, and this one unless it
    /// leaves or is unreachable.
    pub fn live(&self) -> Vec<Instance> {
        let peers = self.peers.values();
        let mut live: Vec<Instance> = peers
            .filter(|member| member.update.liveness <= Liveness::Suspect)
            .map(|member| member.instance.clone())
            .collect();
        if self.own.liveness == Liveness::Alive && !self.unreachable {
            live.push(self.options.instance.clone());
        }
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Liveness of an instance, if it is known.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        if name == &*self.own.name {
            return Some(self.own.liveness);
        }
        self.peers.get(name).map(|member| member.update.liveness)
    }

    /// The latest known incarnation of an instance.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        if name == &*self.own.name {
            return Some(self.own.incarnation);
        }
        self.peers.get(name).map(|member| member.update.incarnation)
    }

    /// An instance by name, whatever its liveness.
    pub fn find(&self, name: &str) -> Option<&Instance> {
        if name == &*self.own.name {
            return Some(&self.options.instance);
        }
        self.peers.get(name).map(|member| &member.instance)
    }

    /// Whether no probe was answered for the isolation timeout although there are other instances.
    pub fn is_isolated(&self, now: Moment) -> bool {
        !self.peers.is_empty()
            && now.saturating_sub(self.last_success) > self.options.isolation_timeout
    }

    /// Whether other instances answer this one's probes but have not called it for the isolation
    /// timeout: traffic to it is lost.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Instances that may be advertised to callers.
    pub fn advertised(&self, now: Moment) -> Vec<Instance> {
        let mut advertised = self.live();
        let isolated = self.is_isolated(now);
        advertised.retain(|instance| {
            if instance.name == self.own.name {
                return !isolated;
            }
            self.liveness(&instance.name) == Some(Liveness::Alive)
        });
        advertised
    }
}
