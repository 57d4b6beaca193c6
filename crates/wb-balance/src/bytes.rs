//! Body bytes in flight at the servers of one service, and how many a server can hold.
//!
//! A server ends if what it holds exceeds its memory, which nobody tells. Until a server has ended under
//! many bytes, nothing depends on them. From then on large bodies are spread over the servers and wait
//! where a server has enough; small ones go on as before.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::InstanceName;
use wb_types::id::Moment;

/// Size of the smallest body that counts, in bytes: a server that holds thousands of smaller ones is out of
/// slots first.
pub const LARGE_MIN: u64 = 64 * 1024;
/// Fewest bytes of other requests, at a server that ended, that may have been the cause.
const MANY_MIN: u64 = 512 * 1024;
/// Lowest limit, in bytes: less memory than that no server is given.
const LIMIT_MIN: u64 = 1024 * 1024;
/// Time in which a limit doubles.
const DOUBLING_TIME: Duration = Duration::from_secs(5 * 60);
/// Multiple of the bytes at an end from which its limit is forgotten.
const FORGET_FACTOR: f64 = 2.0;
/// Time for which bytes that were given back still count to what a server held when it ended: all of its
/// requests end with it, one after the other.
const RECENT_TIME: Duration = Duration::from_millis(500);
/// Time after which what a peer has reported no longer counts.
pub const PEER_TIME: Duration = Duration::from_secs(3);
/// Part of the limit, as its divisor, from which peers are told of a body at once.
const URGENT_PART: u64 = 16;
/// Extra cost of a server with as many bytes in flight as its limit, in average durations.
const FULL_COST: f64 = 1.0;

/// Size of a body as far as it counts, in bytes.
pub fn counted(body: u64) -> u64 {
    if body < LARGE_MIN { 0 } else { body }
}

/// Bytes of large bodies in flight at one server.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    own: u64,
    reported: u64,
    peers: HashMap<InstanceName, (u64, Moment)>,
    /// The most that it held a moment ago, and when.
    recent: Option<(u64, Moment)>,
}

impl HeldBytes {
    /// Bytes from this instance and those that peers have reported lately.
    pub fn total(&self, now: Moment) -> u64 {
        let fresh = |at: Moment| now.saturating_sub(at) < PEER_TIME;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        self.own + peers.map(|(bytes, _)| bytes).sum::<u64>()
    }

    /// The most that it held now or a moment ago.
    pub fn peak(&self, now: Moment) -> u64 {
        let recent = self.recent.filter(|(_, at)| Self::is_recent(*at, now));
        self.total(now).max(recent.map_or(0, |(bytes, _)| bytes))
    }

    fn is_recent(at: Moment, now: Moment) -> bool {
        now.saturating_sub(at) < RECENT_TIME
    }

    /// Adds a body that is sent to it.
    pub fn take(&mut self, body: u64) {
        self.own += body;
    }

    /// Removes a body that it no longer holds.
    pub fn give_back(&mut self, body: u64, now: Moment) {
        let total = self.total(now);
        let known = self.recent.filter(|(_, at)| Self::is_recent(*at, now));
        if body > 0 && known.is_none_or(|(bytes, _)| bytes <= total) {
            self.recent = Some((total, now));
        }
        self.own = self.own.saturating_sub(body);
    }

    /// Sets what a peer has in flight there.
    pub fn set_peer(&mut self, from: &InstanceName, bytes: u64, now: Moment) {
        if bytes == 0 {
            self.peers.remove(from);
        } else {
            self.peers.insert(from.clone(), (bytes, now));
        }
    }

    /// This instance's bytes, if peers are to be told: all that are not 0 if `all`, otherwise those that
    /// have changed. Marks them as told.
    pub fn report(&mut self, all: bool) -> Option<u64> {
        let due = self.own != self.reported || (all && self.own > 0);
        self.reported = self.own;
        due.then_some(self.own)
    }
}

/// What a server of a service can hold, as its servers' ends have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteLimit {
    limit: Option<Learnt>,
    /// Most bytes with which a server has answered.
    carried: u64,
}

#[derive(Clone, Copy, Debug)]
struct Learnt {
    /// Limit at first, in bytes.
    bytes: u64,
    since: Moment,
}

impl Learnt {
    fn factor(self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.since);
        (age.as_secs_f64() / DOUBLING_TIME.as_secs_f64()).exp2()
    }

    /// The limit, or `None` if it is forgotten. It begins at half of the bytes at the end.
    fn at(self, now: Moment) -> Option<u64> {
        let factor = self.factor(now);
        (factor < 2.0 * FORGET_FACTOR).then_some((self.bytes as f64 * factor) as u64)
    }
}

impl ByteLimit {
    /// Most bytes that are sent to a server at a time; `None` if nothing is known.
    pub fn get(&self, now: Moment) -> Option<u64> {
        self.limit?.at(now)
    }

    /// Records that a server answered a request while it held that many bytes.
    pub fn record_answer(&mut self, held: u64) {
        self.carried = self.carried.max(held);
    }

    /// Records that a server ended while it held that many bytes, `body` of them of the request that is
    /// asked about. Returns whether the bytes may be the cause: others held many, and not far fewer than
    /// servers have carried; or the server was about as full as the limit allows, and peers may have sent
    /// it more that they have not reported yet.
    pub fn record_end(&mut self, held: u64, body: u64, now: Moment) -> bool {
        let others = held.saturating_sub(body);
        if others < MANY_MIN || held < self.carried / 2 {
            return self.get(now).is_some_and(|limit| held >= limit / 2);
        }
        self.lower(held / 2, now);
        true
    }

    /// Whether peers have to know of a body at once: it takes a large part of what a server can hold.
    pub fn is_urgent(&self, body: u64, now: Moment) -> bool {
        let large = |limit| body > 0 && body >= limit / URGENT_PART;
        self.get(now).is_some_and(large)
    }

    /// Lowers the limit to one that is known; a higher one changes nothing. Returns whether it changed.
    pub fn lower(&mut self, bytes: u64, now: Moment) -> bool {
        let bytes = bytes.max(LIMIT_MIN);
        if self.get(now).is_some_and(|known| known <= bytes) {
            return false;
        }
        self.limit = Some(Learnt { bytes, since: now });
        true
    }

    /// Whether a server that holds that many bytes may get a body. One without any gets each body:
    /// otherwise the largest would never be sent.
    pub fn admits(&self, held: u64, body: u64, now: Moment) -> bool {
        let fits = |limit| body == 0 || held == 0 || held + body <= limit;
        self.get(now).is_none_or(fits)
    }

    /// Extra cost of a server for a body, in average durations.
    pub fn cost(&self, held: u64, body: u64, now: Moment) -> f64 {
        if body == 0 {
            return 0.0;
        }
        let part = |limit| held as f64 / limit as f64;
        self.get(now).map_or(0.0, part) * FULL_COST
    }
}
