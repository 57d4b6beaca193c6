//! Taking and giving news.

use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::member::MemberUpdate;

use super::LivenessChange;
use super::Membership;
use super::Rumour;

/// Tellings of one piece of news, as a multiple of the logarithm of the fleet's size.
const TELL_FACTOR: u32 = 3;

impl Membership {
    /// Takes news; gives what changed.
    pub fn merge(&mut self, news: &[MemberUpdate], now: Moment) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        for item in news {
            if item.name == self.me.name {
                self.hear_of_me(item);
            } else {
                changes.extend(self.put(item.clone(), now));
            }
        }
        changes
    }

    /// Takes the news that a sender gives of itself. A sender that is held for suspect or dead is
    /// told so with the next message, so that it can refute.
    pub fn merge_sender(&mut self, sender: &MemberUpdate, now: Moment) -> Vec<LivenessChange> {
        let known = self.others.get(&sender.name).map(|member| &member.news);
        if let Some(known) = known.filter(|known| rank(known) > rank(sender)) {
            self.spread(known.clone());
        }
        self.merge(std::slice::from_ref(sender), now)
    }

    /// News of the instance itself.
    pub fn own_news(&self) -> &MemberUpdate {
        &self.me
    }

    /// News for one message: what was told least first. Each piece is told a number of times
    /// that grows with the logarithm of the fleet's size.
    pub fn next_gossip(&mut self) -> Vec<MemberUpdate> {
        let limit = self.tellings();
        self.rumours.sort_by_key(|rumour| rumour.told);
        let mut news = Vec::new();
        for rumour in self.rumours.iter_mut().take(self.options.gossip_max) {
            rumour.told += 1;
            news.push(rumour.news.clone());
        }
        self.rumours.retain(|rumour| rumour.told < limit);
        news
    }

    /// Says that the instance leaves.
    pub fn leave(&mut self) {
        self.me.liveness = Liveness::Left;
        self.me.revision += 1;
        let news = self.me.clone();
        self.spread(news);
    }

    /// Refutes a rumour about the instance itself, unless it is deaf: then the others are right
    /// not to count on it.
    fn hear_of_me(&mut self, news: &MemberUpdate) {
        let newer = (news.incarnation, news.revision) >= (self.me.incarnation, self.me.revision);
        if !newer || *news == self.me || self.deaf {
            return;
        }
        if news.incarnation > self.me.incarnation {
            self.me.incarnation = news.incarnation + 1;
        }
        if news.liveness == self.me.liveness && news.revision == self.me.revision {
            return;
        }
        self.me.revision = self.me.revision.max(news.revision) + 1;
        let news = self.me.clone();
        self.spread(news);
    }

    pub(super) fn put(&mut self, news: MemberUpdate, now: Moment) -> Option<LivenessChange> {
        let Some(member) = self.others.get_mut(&news.name) else {
            self.unlisted.insert(news.name.clone(), news);
            return None;
        };
        if rank(&news) <= rank(&member.news) {
            return None;
        }
        let before = member.news.liveness;
        member.news = news.clone();
        let change = (before != news.liveness).then(|| LivenessChange {
            name: news.name.clone(),
            liveness: news.liveness,
        });
        if change.is_some() {
            member.since = now;
        }
        self.spread(news);
        change
    }

    pub(super) fn spread(&mut self, news: MemberUpdate) {
        self.rumours.retain(|rumour| rumour.news.name != news.name);
        self.rumours.push(Rumour { news, told: 0 });
    }

    fn tellings(&self) -> u32 {
        let size = self.others.len() as u32 + 2;
        TELL_FACTOR * size.ilog2().max(1)
    }
}

/// Order of news about one member: the highest is believed.
fn rank(news: &MemberUpdate) -> (u64, u32, Liveness) {
    (news.incarnation, news.revision, news.liveness)
}
