//! Which instances callers are steered to.
//!
//! A few instances, the homes, take all callers, so that their evidence on backend servers is exact
//! and requests queue at these instances. All instances rank each other in the same order. The
//! first in the ranking are candidates and send heartbeats to each other. The first candidates are
//! homes: they send heartbeats to all instances, with the list of the candidates whose heartbeats
//! they receive. A candidate that is silent is passed over until its next heartbeat.

mod rank;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::DomainName;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

/// The description that an instance gives of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Card {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// CPU share, in cores.
    pub cores: f32,
}

/// Limits of the choice of homes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Lowest number of homes.
    pub homes_min: usize,
    /// Number of candidates beyond the homes.
    pub spare_candidates: usize,
    /// Time without a heartbeat after which a candidate is passed over.
    pub silence_timeout: Duration,
    /// Time after which it is forgotten that an instance reaches no servers, unless it says so again.
    pub cut_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            homes_min: 3,
            spare_candidates: 5,
            silence_timeout: Duration::from_millis(1200),
            cut_timeout: Duration::from_secs(3),
        }
    }
}

/// Ratio of an instance's cores to those of the one before it in the ranking, below which it
/// belongs to a smaller kind.
const SMALLER_KIND_RATIO: f32 = 0.5;
/// Fraction of the required cores that suffices if only larger instances are homes: the requirement
/// assumes that every slot of the backend servers is busy, three times the load of a usual peak.
const LARGE_KIND_SHARE: f32 = 0.3;

/// Number of heartbeats to all within the time after which it is forgotten that an instance takes no callers.
const REFRESHES: u32 = 3;

/// One known instance.
#[derive(Clone, Debug)]
struct Peer {
    card: Card,
    /// Time of its last heartbeat, received or relayed, or since when its heartbeats are expected.
    last_heard: Moment,
    expected: bool,
    silent: bool,
    left: bool,
    /// Time of its last heartbeat if that marked it as a home, `None` otherwise.
    home_at: Option<Moment>,
    /// Time of its last heartbeat if that said that it reaches no servers, `None` otherwise.
    cut_at: Option<Moment>,
    /// Time of its last heartbeat if that said that it should take no callers, `None` otherwise.
    avoiding_at: Option<Moment>,
}

impl Peer {
    /// Whether it has said within `timeout` that it reaches no servers.
    fn is_cut(&self, timeout: Duration, now: Moment) -> bool {
        let recent = |at| now.saturating_sub(at) <= timeout;
        self.cut_at.is_some_and(recent)
    }

    /// Whether it has said within `timeout` that it should take no callers.
    fn avoids_callers(&self, timeout: Duration, now: Moment) -> bool {
        let recent = |at| now.saturating_sub(at) <= timeout;
        self.avoiding_at.is_some_and(recent)
    }
}

/// The homes and candidates as one instance sees them.
#[derive(Clone, Debug)]
pub struct Steering {
    options: Options,
    own: Card,
    leaving: bool,
    /// Whether this instance should take no callers, since it reaches no servers.
    avoiding: bool,
    /// When its heartbeat last went to all instances.
    told_all: Moment,
    peers: HashMap<InstanceName, Peer>,
    /// CPU share that the homes need together, in cores.
    required_cores: f32,
    candidates: Vec<InstanceName>,
    homes: Vec<InstanceName>,
}

impl Steering {
    /// The state of an instance without known peers.
    pub fn new(options: Options, own: Card) -> Self {
        let mut steering = Self {
            options,
            own,
            leaving: false,
            avoiding: false,
            told_all: Moment::ZERO,
            peers: HashMap::new(),
            required_cores: 0.0,
            candidates: Vec::new(),
            homes: Vec::new(),
        };
        steering.update_homes(Moment::ZERO);
        steering
    }

    /// Description of this instance.
    pub fn own_card(&self) -> &Card {
        &self.own
    }

    /// Adds or updates a known instance. Returns whether it is new.
    pub fn add_peer(&mut self, card: Card, now: Moment) -> bool {
        if card.name == self.own.name {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&card.name) {
            if peer.card.incarnation != card.incarnation {
                peer.left = false;
                peer.cut_at = None;
                peer.avoiding_at = None;
            }
            peer.card = card;
            return false;
        }
        let name = card.name.clone();
        let peer = Peer {
            card,
            last_heard: now,
            expected: false,
            silent: false,
            left: false,
            home_at: None,
            cut_at: None,
            avoiding_at: None,
        };
        self.peers.insert(name, peer);
        true
    }

    /// Records a heartbeat of an instance. Returns whether it is new.
    pub fn record_heartbeat(&mut self, card: Card, home: bool, now: Moment) -> bool {
        let name = card.name.clone();
        let is_new = self.add_peer(card, now);
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.last_heard = now;
            peer.silent = false;
            peer.home_at = home.then_some(now);
        }
        is_new
    }

    /// Records the candidates whose heartbeats a home receives: they are not silent here either. A
    /// candidate ignores this, since it receives their heartbeats itself; candidates that are not
    /// homes send them only to candidates.
    pub fn record_relayed(&mut self, names: &[InstanceName], now: Moment) {
        if self.is_candidate() {
            return;
        }
        for name in names {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.last_heard = now;
                peer.silent = false;
            }
        }
    }

    /// Records whether an instance reaches no servers, as its heartbeat says. Returns whether that is
    /// news.
    pub fn record_cut(&mut self, name: &str, cut: bool, now: Moment) -> bool {
        let timeout = self.options.cut_timeout;
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let was_cut = peer.is_cut(timeout, now);
        peer.cut_at = cut.then_some(now);
        cut && !was_cut
    }

    /// Records whether an instance should take no callers, as its heartbeat says.
    pub fn record_avoiding(&mut self, name: &str, avoiding: bool, now: Moment) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoiding_at = avoiding.then_some(now);
        }
    }

    /// Sets whether this instance should take no callers.
    pub fn set_avoiding(&mut self, avoiding: bool) {
        self.avoiding = avoiding;
    }

    /// Marks an instance as left.
    pub fn mark_left(&mut self, name: &str) {
        if name == &*self.own.name {
            self.leaving = true;
        } else if let Some(peer) = self.peers.get_mut(name) {
            peer.left = true;
            peer.home_at = None;
        }
    }

    /// Sets the CPU share that the homes need together, in cores.
    pub fn set_required_cores(&mut self, required_cores: f32) {
        self.required_cores = required_cores;
    }

    /// Chooses the candidates and homes. Returns whether the homes changed.
    pub fn update_homes(&mut self, now: Moment) -> bool {
        for peer in self.peers.values_mut() {
            let overdue = now.saturating_sub(peer.last_heard) > self.options.silence_timeout;
            if peer.expected && overdue {
                peer.silent = true;
            }
        }
        let mut ranked = self.ranked(now);
        let homes = self.homes_required(&ranked);
        ranked.truncate(homes + self.options.spare_candidates);
        for (name, peer) in &mut self.peers {
            let expected = ranked.contains(name);
            if expected && !peer.expected {
                peer.last_heard = peer.last_heard.max(now);
            }
            peer.expected = expected;
        }
        self.candidates = ranked.clone();
        ranked.truncate(homes);
        let changed = ranked != self.homes;
        self.homes = ranked;
        changed
    }

    /// Live instances in the ranking that all agree on. Those that should take no callers are passed
    /// over, unless there is no other.
    fn ranked(&self, now: Moment) -> Vec<InstanceName> {
        let live = |peer: &&Peer| !peer.silent && !peer.left;
        let others: Vec<&Peer> = self.peers.values().filter(live).collect();
        let timeout = self.options.cut_timeout;
        let willing = others
            .iter()
            .filter(|peer| !peer.avoids_callers(timeout, now));
        let own = (!self.leaving && !self.avoiding).then_some(&self.own);
        let ranked = rank::rank(willing.map(|peer| &peer.card).chain(own));
        if !ranked.is_empty() {
            return ranked;
        }
        let own = (!self.leaving).then_some(&self.own);
        rank::rank(others.iter().map(|peer| &peer.card).chain(own))
    }

    /// Names and addresses of other instances that reach the servers, as far as known: those that are
    /// homes if there are any.
    pub fn reaching_peers(&self, now: Moment) -> Vec<(InstanceName, SocketAddr)> {
        let timeout = self.options.cut_timeout;
        let reaching = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.silent && !peer.left && !peer.is_cut(timeout, now));
        let all: Vec<_> = reaching
            .map(|(name, peer)| (name.clone(), peer.card.peers))
            .collect();
        let homes = all.iter().filter(|(name, _)| self.homes.contains(name));
        let homes: Vec<_> = homes.cloned().collect();
        if homes.is_empty() { all } else { homes }
    }

    /// Number of homes that are needed. Callers spread evenly over the homes, so together they
    /// carry the load of the smallest one times their number.
    fn homes_required(&self, ranked: &[InstanceName]) -> usize {
        let mut smallest = 0.0;
        for (index, name) in ranked.iter().enumerate() {
            let cores = self.card(name).map_or(0.0, |card| card.cores);
            let capacity = smallest * index as f32;
            let smaller_kind = cores < smallest * SMALLER_KIND_RATIO;
            if index >= self.options.homes_min
                && (capacity >= self.required_cores
                    || (smaller_kind && capacity >= self.required_cores * LARGE_KIND_SHARE))
            {
                return index;
            }
            smallest = cores;
        }
        ranked.len()
    }

    fn card(&self, name: &str) -> Option<&Card> {
        if name == &*self.own.name {
            return Some(&self.own);
        }
        self.peers.get(name).map(|peer| &peer.card)
    }

    /// Whether this instance is a candidate, which sends heartbeats to the candidates.
    pub fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.own.name)
    }

    /// Whether this instance is a home, which takes callers.
    pub fn is_home(&self) -> bool {
        self.homes.contains(&self.own.name)
    }

    /// Homes, in the order of the ranking.
    pub fn homes(&self) -> &[InstanceName] {
        &self.homes
    }

    /// Candidates that are not silent, this instance included if it is one.
    pub fn candidates(&self) -> &[InstanceName] {
        &self.candidates
    }

    /// Addresses for callers: those of the homes with a recent heartbeat, and this one's if it is a
    /// home or there is no such home.
    pub fn caller_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let recent = |at: Moment| now.saturating_sub(at) <= self.options.silence_timeout;
        let home = |peer: &&Peer| peer.home_at.is_some_and(recent) && !peer.left;
        let homes = self.peers.values().filter(home);
        let mut found: Vec<SocketAddr> = homes.map(|peer| peer.card.callers).collect();
        if self.is_home() || found.is_empty() {
            found.push(self.own.callers);
        }
        found.sort();
        found
    }

    /// Addresses of the other instances to which this one sends its next heartbeat. One that should take no
    /// callers tells all of them before they forget it: each would choose other homes otherwise.
    pub fn heartbeat_targets(&mut self, now: Moment) -> Vec<SocketAddr> {
        let refresh = self.options.cut_timeout / REFRESHES;
        let due = self.avoiding && now.saturating_sub(self.told_all) >= refresh;
        let all = self.is_home() || due;
        if all {
            self.told_all = now;
        }
        let candidate = |name: &InstanceName| self.candidates.contains(name);
        let peers = self.peers.iter().filter(|(_, peer)| !peer.left);
        peers
            .filter(|(name, _)| all || candidate(name))
            .map(|(_, peer)| peer.card.peers)
            .collect()
    }

    /// Addresses of all other instances.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.values().filter(|peer| !peer.left);
        peers.map(|peer| peer.card.peers).collect()
    }

    /// Addresses of other instances, as far as they are known.
    pub fn addresses_of(&self, names: &[InstanceName]) -> Vec<SocketAddr> {
        let known = names.iter().filter_map(|name| self.peers.get(name));
        known.map(|peer| peer.card.peers).collect()
    }

    /// Addresses of the other homes.
    pub fn home_peers(&self) -> Vec<SocketAddr> {
        let names = self.homes.iter().filter(|name| **name != self.own.name);
        names
            .filter_map(|name| Some(self.peers.get(name)?.card.peers))
            .collect()
    }

    /// Cards of all known instances that have not left, this one included.
    pub fn cards(&self) -> Vec<Card> {
        let peers = self.peers.values().filter(|peer| !peer.left);
        let mut cards: Vec<Card> = peers.map(|peer| peer.card.clone()).collect();
        cards.push(self.own.clone());
        cards
    }
}
