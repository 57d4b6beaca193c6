//! Gossip: merging received updates and choosing those to send.

use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::member::MemberUpdate;

use super::GossipItem;
use super::LivenessChange;
use super::Membership;

/// How often one update is sent, as a multiple of the binary logarithm of the fleet's size.
const GOSSIP_FACTOR: u32 = 3;

impl Membership {
    /// Merges received updates. Returns the changes of liveness.
    pub fn merge(&mut self, updates: &[MemberUpdate], now: Moment) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        for update in updates {
            if update.name == self.own.name {
                self.refute(update);
            } else {
                changes.extend(self.apply(update.clone(), now));
            }
        }
        changes
    }

    /// Merges the update that a sender gave about itself. If the sender is known as suspect or
    /// dead, that is gossiped again, so that it can refute.
    pub fn merge_sender(&mut self, sender: &MemberUpdate, now: Moment) -> Vec<LivenessChange> {
        let known = self.peers.get(&sender.name).map(|member| &member.update);
        if let Some(known) = known.filter(|known| precedence(known) > precedence(sender)) {
            self.enqueue(known.clone());
        }
        self.merge(std::slice::from_ref(sender), now)
    }

    /// The update about this instance.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// Updates for one message, those sent least often first. Each is sent a number of times that
    /// grows with the logarithm of the fleet's size.
    pub fn next_gossip(&mut self) -> Vec<MemberUpdate> {
        let limit = self.send_limit();
        self.gossip.sort_by_key(|item| item.send_count);
        let mut updates = Vec::new();
        for item in self.gossip.iter_mut().take(self.options.gossip_max) {
            item.send_count += 1;
            updates.push(item.update.clone());
        }
        self.gossip.retain(|item| item.send_count < limit);
        updates
    }

    /// Marks this instance as leaving and gossips it.
    pub fn leave(&mut self) {
        self.own.liveness = Liveness::Left;
        self.own.revision += 1;
        let update = self.own.clone();
        self.enqueue(update);
    }

    /// Refutes an update about this instance that is wrong, unless it is unreachable: then the
    /// others are right not to count on it.
    fn refute(&mut self, update: &MemberUpdate) {
        let newer =
            (update.incarnation, update.revision) >= (self.own.incarnation, self.own.revision);
        if !newer || *update == self.own || self.unreachable {
            return;
        }
        if update.incarnation > self.own.incarnation {
            self.own.incarnation = update.incarnation + 1;
        }
        if update.liveness == self.own.liveness && update.revision == self.own.revision {
            return;
        }
        self.own.revision = self.own.revision.max(update.revision) + 1;
        let update = self.own.clone();
        self.enqueue(update);
    }

    pub(super) fn apply(&mut self, update: MemberUpdate, now: Moment) -> Option<LivenessChange> {
        let Some(member) = self.peers.get_mut(&update.name) else {
            self.unlisted.insert(update.name.clone(), update);
            return None;
        };
        if precedence(&update) <= precedence(&member.update) {
            return None;
        }
        let before = member.update.liveness;
        member.update = update.clone();
        let change = (before != update.liveness).then(|| LivenessChange {
            name: update.name.clone(),
            liveness: update.liveness,
        });
        if change.is_some() {
            member.since = now;
        }
        self.enqueue(update);
        change
    }

    pub(super) fn enqueue(&mut self, update: MemberUpdate) {
        self.gossip.retain(|item| item.update.name != update.name);
        self.gossip.push(GossipItem {
            update,
            send_count: 0,
        });
    }

    fn send_limit(&self) -> u32 {
        let size = self.peers.len() as u32 + 2;
        GOSSIP_FACTOR * size.ilog2().max(1)
    }
}

/// Precedence of updates about one member: the highest wins.
fn precedence(update: &MemberUpdate) -> (u64, u32, Liveness) {
    (update.incarnation, update.revision, update.liveness)
}
