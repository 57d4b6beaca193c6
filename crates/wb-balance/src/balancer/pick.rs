//! Choice of a server.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wb_types::id::Moment;

use super::Balancer;
use super::Entry;
use super::Grant;
use super::RequestInfo;
use super::ServerKey;

/// Share of requests that a suspect must answer to be given work that must not repeat.
const SHARE_LEAST: f64 = 0.6;
/// Extra cost of a server that answers nothing, in service times.
const FAILURE_COST: f64 = 5.0;
/// Share of failed sends up to which failures are rare.
const RARE: f64 = 0.05;
/// Share of failed sends from which failures are common; the floor of servers in use is counted
/// from a tenth on.
const COMMON: f64 = 0.09;
/// Time without a whole answer after which a server is visited before suspects are tried: half of
/// the time in which each sound server should get work.
const NEGLECT: Duration = Duration::from_secs(1);
/// Usual durations that must be left for a trial, so that the request can be sent again.
const TRIAL_ROOM: u32 = 3;
/// Share of slots above which a server counts as nearly full.
const NEARLY_FULL: f64 = 0.5;
/// Duration against the usual up to which a server counts as no slower: durations of sound servers
/// differ by that much by chance.
const NO_SLOWER: f64 = 1.3;
/// Extra cost of a full server against a half empty one, in service times.
const FULL_COST: f64 = 1.2;
/// Extra cost of a full server against an idle one, in service times.
const LOAD_COST: f64 = 0.4;
/// How much slower than usual a cold server is taken to be.
const COLD: f64 = 2.0;
/// Bound of the random part of the cost, so that instances don't all choose the same server, in
/// service times.
const JITTER: f64 = 0.1;

impl RequestInfo {
    /// Whether a failure costs the caller nothing: the request can be sent once more.
    fn may_explore(&self) -> bool {
        self.idempotent && self.tried.is_empty() && self.sends_left > 1
    }
}

impl Balancer {
    /// A server for a request, if one is free. `desperate` lets it go to a suspect.
    pub(super) fn pick(
        &self,
        ask: &RequestInfo,
        desperate: bool,
        now: Moment,
    ) -> Option<ServerKey> {
        if let Some(key) = self.neglected(ask, now).or_else(|| self.due(ask, now)) {
            return Some(key);
        }
        let sound = self.cheapest(ask, now, |entry| !entry.trust.is_suspect());
        if sound.is_some() || !desperate {
            return sound;
        }
        // Work that must not repeat is better refused, and known not to have run, than likely lost.
        // Where all are suspect, the fault is likely one that all share, and waiting helps nobody.
        let sound = self.servers.values().any(Entry::is_sound);
        let least = if ask.idempotent || !sound {
            0.0
        } else {
            SHARE_LEAST
        };
        self.cheapest(ask, now, |entry| {
            entry.trust.is_suspect() && entry.trust.success_rate() >= least
        })
    }

    /// A server that is not suspect and that nobody has heard of for long, if the request may run
    /// again. Where many servers are suspect, their trials could use up all such requests, and sound
    /// servers that orders pass by would stay idle.
    fn neglected(&self, ask: &RequestInfo, now: Moment) -> Option<ServerKey> {
        if !ask.may_explore() {
            return None;
        }
        let servers = self.servers.iter().filter(|(_, entry)| {
            let trust = &entry.trust;
            let idle = entry.is_usable() && entry.load() == 0 && now >= entry.rest;
            idle && !trust.is_suspect() && trust.since_success(now).is_none_or(|age| age > NEGLECT)
        });
        servers.choose(&mut rand::rng()).map(|(key, _)| key)
    }

    /// The suspect whose trial is due longest, if the request may run again and has time for it.
    pub(super) fn due(&self, ask: &RequestInfo, now: Moment) -> Option<ServerKey> {
        let room = self.typical_duration(&ask.route) * TRIAL_ROOM;
        if !ask.may_explore() || now + room > ask.deadline {
            return None;
        }
        self.servers
            .iter()
            .filter(|(_, entry)| entry.is_usable() && entry.trust.is_trial_due(now))
            .min_by_key(|(_, entry)| entry.trust.next_trial())
            .map(|(key, _)| key)
    }

    fn cheapest(
        &self,
        ask: &RequestInfo,
        now: Moment,
        fits: impl Fn(&Entry) -> bool,
    ) -> Option<ServerKey> {
        let mut best: Option<(f64, ServerKey)> = None;
        for (key, entry) in &self.servers {
            let free = entry.is_usable() && entry.load() < entry.server.slots;
            if !free || now < entry.rest || !fits(entry) || ask.tried.contains(&key) {
                continue;
            }
            let cost = self.cost(entry, ask.may_explore(), now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Cost of a server. `explore` draws the request to servers that were not heard of for long:
    /// it can be sent again, and finds out about them.
    fn cost(&self, entry: &Entry, explore: bool, now: Moment) -> f64 {
        let options = &self.options;
        let full = f64::from(entry.load()) / f64::from(entry.server.slots.max(1));
        let mut cost =
            entry.pace.max(NO_SLOWER) + entry.trust.score() + entry.shed * options.shed_cost;
        cost += (1.0 - entry.trust.success_rate()) * FAILURE_COST;
        cost += (full - NEARLY_FULL).max(0.0) / (1.0 - NEARLY_FULL) * FULL_COST;
        cost += full * LOAD_COST;
        if now < entry.cold {
            cost += COLD - 1.0;
        }
        if *entry.server.domain != *options.domain {
            cost += options.remote_cost;
        }
        let age = entry.trust.since_success(now);
        let stale = age.map_or(options.staleness_max, |age| {
            (age.as_secs_f64() * options.staleness_cost).min(options.staleness_max)
        });
        if explore {
            // A request that runs there finds out already.
            let known = entry.load() > 0;
            cost -= if known { 0.0 } else { stale };
        } else {
            cost += stale * self.caution();
            cost += self.caution() * options.unproven_cost
                / (1.0 + f64::from(entry.trust.success_streak()));
        }
        cost + rand::rng().random_range(0.0..JITTER)
    }

    /// Weight of what was heard last of a server, 0 to 1. Few failures come from servers that have
    /// just turned, which those that answered a moment ago have not. Where failures are common,
    /// that tells little, and work that crowds on few servers leaves sound ones idle.
    fn caution(&self) -> f64 {
        ((COMMON - self.failing) / (COMMON - RARE)).clamp(0.0, 1.0)
    }

    /// Takes a slot.
    pub(super) fn grant(&mut self, key: ServerKey, now: Moment) -> Box<Grant> {
        let entry = &mut self.servers[key];
        entry.running += 1;
        let trial = entry.trust.is_suspect();
        if trial {
            entry.trust.set_in_trial(true);
        }
        Box::new(Grant {
            key,
            server: entry.server.clone(),
            trial,
            running: entry.load(),
            since_success: entry.trust.since_success(now),
            score: entry.trust.score(),
        })
    }
}
