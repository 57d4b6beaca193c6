//! Which instances callers are steered to.
//!
//! A few instances, the homes, take all callers, so that their evidence on backend servers is
//! exact and they queue in the right place. All instances rank each other in the same order. The
//! first of the rank are candidates and beat to each other; the first candidates are homes and
//! beat to everyone, with the candidates that they hear. A candidate that falls silent is passed
//! over until it is heard again.

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

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Card {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Process start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Processor share, in cores.
    pub cores: f32,
}

/// Bounds of the choice of homes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Homes at least.
    pub homes_min: usize,
    /// Candidates beyond the homes.
    pub spare_candidates: usize,
    /// Silence after which a candidate is passed over.
    pub silence_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            homes_min: 3,
            spare_candidates: 5,
            silence_timeout: Duration::from_millis(1200),
        }
    }
}

/// Size of an instance against the one before it in the rank below which it is of a smaller kind.
const STEP: f32 = 0.5;
/// Part of the need that larger instances may carry alone: the need is reckoned with every slot of
/// the backend servers busy, three times what comes at a usual crest.
const SHORT: f32 = 0.3;

/// One known instance.
#[derive(Clone, Debug)]
struct Peer {
    card: Card,
    /// When it was heard, or expected to be heard from then on.
    heard: Moment,
    expected: bool,
    silent: bool,
    left: bool,
    /// When it said last that it is a home, unless it said otherwise since.
    home: Option<Moment>,
}

/// What one instance knows of the others.
#[derive(Clone, Debug)]
pub struct Steering {
    options: Options,
    own: Card,
    leaving: bool,
    peers: HashMap<InstanceName, Peer>,
    /// Processor share that the homes need together, in cores.
    need: f32,
    candidates: Vec<InstanceName>,
    homes: Vec<InstanceName>,
}

impl Steering {
    /// An instance that knows of no other.
    pub fn new(options: Options, own: Card) -> Self {
        let mut steering = Self {
            options,
            own,
            leaving: false,
            peers: HashMap::new(),
            need: 0.0,
            candidates: Vec::new(),
            homes: Vec::new(),
        };
        steering.update_homes(Moment::ZERO);
        steering
    }

    /// What this instance says of itself.
    pub fn own_card(&self) -> &Card {
        &self.own
    }

    /// Learns that an instance exists. Returns whether it was unknown.
    pub fn add_peer(&mut self, card: Card, now: Moment) -> bool {
        if card.name == self.own.name {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&card.name) {
            if peer.card.incarnation != card.incarnation {
                peer.left = false;
            }
            peer.card = card;
            return false;
        }
        let name = card.name.clone();
        let peer = Peer {
            card,
            heard: now,
            expected: false,
            silent: false,
            left: false,
            home: None,
        };
        self.peers.insert(name, peer);
        true
    }

    /// Hears an instance itself.
    pub fn record_heartbeat(&mut self, card: Card, home: bool, now: Moment) -> bool {
        let name = card.name.clone();
        let fresh = self.add_peer(card, now);
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.heard = now;
            peer.silent = false;
            peer.home = home.then_some(now);
        }
        fresh
    }

    /// Takes the candidates that a home hears. They count as heard for an instance that is no
    /// candidate, since candidates beat to candidates only.
    pub fn record_relayed(&mut self, names: &[InstanceName], now: Moment) {
        if self.is_candidate() {
            return;
        }
        for name in names {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.heard = now;
                peer.silent = false;
            }
        }
    }

    /// An instance leaves.
    pub fn mark_left(&mut self, name: &str) {
        if name == &*self.own.name {
            self.leaving = true;
        } else if let Some(peer) = self.peers.get_mut(name) {
            peer.left = true;
            peer.home = None;
        }
    }

    /// Takes the processor share that the homes need together, in cores.
    pub fn set_required_cores(&mut self, need: f32) {
        self.need = need;
    }

    /// Chooses candidates and homes anew. Returns whether the homes changed.
    pub fn update_homes(&mut self, now: Moment) -> bool {
        for peer in self.peers.values_mut() {
            let quiet = now.saturating_sub(peer.heard) > self.options.silence_timeout;
            if peer.expected && quiet {
                peer.silent = true;
            }
        }
        let mut ranked = self.ranked();
        let homes = self.count(&ranked);
        ranked.truncate(homes + self.options.spare_candidates);
        for (name, peer) in &mut self.peers {
            let expected = ranked.contains(name);
            if expected && !peer.expected {
                peer.heard = peer.heard.max(now);
            }
            peer.expected = expected;
        }
        self.candidates = ranked.clone();
        ranked.truncate(homes);
        let changed = ranked != self.homes;
        self.homes = ranked;
        changed
    }

    /// Live instances in the order that all agree on.
    fn ranked(&self) -> Vec<InstanceName> {
        let others = self
            .peers
            .values()
            .filter(|peer| !peer.silent && !peer.left);
        let own = (!self.leaving).then_some(&self.own);
        rank::rank(others.map(|peer| &peer.card).chain(own))
    }

    /// Homes that are needed. Callers spread evenly over them, so that together they carry what
    /// the smallest carries, times their number.
    fn count(&self, ranked: &[InstanceName]) -> usize {
        let mut smallest = 0.0;
        for (index, name) in ranked.iter().enumerate() {
            let cores = self.card(name).map_or(0.0, |card| card.cores);
            let carried = smallest * index as f32;
            let step = cores < smallest * STEP;
            if index >= self.options.homes_min
                && (carried >= self.need || (step && carried >= self.need * SHORT))
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

    /// Whether this instance beats to the candidates.
    pub fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.own.name)
    }

    /// Whether this instance takes callers.
    pub fn is_home(&self) -> bool {
        self.homes.contains(&self.own.name)
    }

    /// Homes, in the order of the rank.
    pub fn homes(&self) -> &[InstanceName] {
        &self.homes
    }

    /// Candidates that this instance hears, and itself.
    pub fn candidates(&self) -> &[InstanceName] {
        &self.candidates
    }

    /// Addresses for callers: the instances that said lately that they are homes, and this one
    /// if it is; if there is none, this one.
    pub fn caller_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let fresh = |at: Moment| now.saturating_sub(at) <= self.options.silence_timeout;
        let home = |peer: &&Peer| peer.home.is_some_and(fresh) && !peer.left;
        let told = self.peers.values().filter(home);
        let mut found: Vec<SocketAddr> = told.map(|peer| peer.card.callers).collect();
        if self.is_home() || found.is_empty() {
            found.push(self.own.callers);
        }
        found.sort();
        found
    }

    /// Addresses of other instances to beat to.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let all = self.is_home();
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

    /// Addresses of the other homes.
    pub fn home_peers(&self) -> Vec<SocketAddr> {
        let names = self.homes.iter().filter(|name| **name != self.own.name);
        names
            .filter_map(|name| Some(self.peers.get(name)?.card.peers))
            .collect()
    }

    /// Cards of all known instances that have not left, and its own.
    pub fn cards(&self) -> Vec<Card> {
        let peers = self.peers.values().filter(|peer| !peer.left);
        let mut cards: Vec<Card> = peers.map(|peer| peer.card.clone()).collect();
        cards.push(self.own.clone());
        cards
    }
}
