//! Choice of a server.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wb_types::id::Moment;

use super::Assignment;
use super::Balancer;
use super::RequestInfo;
use super::ServerEntry;
use super::ServerKey;

/// Success rate that a suspect needs to be sent non-idempotent requests.
const SUCCESS_RATE_MIN: f64 = 0.6;
/// Extra cost of a server that fails every request, in average durations.
const FAILURE_COST: f64 = 5.0;
/// Failure rate up to which failures are rare, and recency has its full weight.
const FAILURE_RATE_LOW: f64 = 0.05;
/// Failure rate from which recency has no weight; the required share of servers in use is measured
/// from a failure rate of a tenth on.
const FAILURE_RATE_HIGH: f64 = 0.09;
/// Time without a complete response after which a healthy server is sent a request before suspects
/// are: half of the time in which each healthy server should get one.
const VISIT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the servers that must be in use while requests go unserved: seven in ten by the users'
/// rules, and some more, since some servers in use are failing ones.
const FLOOR_SHARE: f64 = 0.8;
/// Share of unserved requests from which the floor counts, well below the users' limit of a tenth.
const UNSERVED_MAX: f64 = 0.06;
/// Share of overdue and failed sends from which the floor may count: one in thirty is overdue at sound
/// servers.
const OVERDUE_LOW: f64 = 0.12;
/// The same from which it counts in full.
const OVERDUE_HIGH: f64 = 0.16;
/// Share of unserved requests from which recency has no weight at a service without explorers.
const UNSERVED_LOW: f64 = 0.02;
/// Share of requests that can be sent again from which they suffice for the trials of suspects.
const EXPLORER_SHARE_MIN: f64 = 0.15;
/// Share of the requests that can't be sent again which may be trials of suspects.
const RETURN_SHARE: f64 = 0.05;
/// Most such trials at a time.
pub(super) const RETURN_MAX: f64 = 3.0;
/// Time without evidence after which a suspect may get a request that can't be sent again: half of
/// the failing servers have recovered by then.
const RETURN_DELAY: Duration = Duration::from_secs(3);
/// The same while requests go unserved: less than half of the two seconds in which a healthy server
/// should get a request, so that one trial may fail before.
const RETURN_DELAY_LOSING: Duration = Duration::from_millis(900);
/// Range over which instances that choose among suspects at the same time spread.
const RETURN_SPREAD_MS: u64 = 1000;
/// Average durations that must remain before the deadline for a trial, so that the request can be
/// sent again.
const TRIAL_DURATIONS: u32 = 3;
/// Utilization above which the congestion cost sets in.
const HIGH_UTILIZATION: f64 = 0.5;
/// Duration ratio up to which a server counts as no slower: healthy servers differ by that much by
/// chance.
const DURATION_RATIO_MIN: f64 = 1.3;
/// Extra cost of a full server over a half-full one, in average durations.
const CONGESTION_COST: f64 = 1.2;
/// Extra cost of a full server over an idle one, in average durations.
const LOAD_COST: f64 = 0.4;
/// Assumed duration ratio of a server that is warming up.
const WARMUP_RATIO: f64 = 2.0;
/// Upper bound of the random cost, in average durations; keeps instances from all choosing the same
/// server.
const JITTER_MAX: f64 = 0.1;

impl RequestInfo {
    /// Whether the request may go to a server of unknown health: it can be sent again after a
    /// failure.
    pub(super) fn may_explore(&self) -> bool {
        self.idempotent && self.tried.is_empty() && self.attempts_left > 1
    }
}

impl Balancer {
    /// A server for a request, if one has a free slot. `allow_suspect` permits a suspect server.
    pub(super) fn pick(
        &self,
        request: &RequestInfo,
        allow_suspect: bool,
        now: Moment,
    ) -> Option<ServerKey> {
        if let Some(key) = self
            .long_unvisited(request, now)
            .or_else(|| self.due_trial(request, now))
        {
            return Some(key);
        }
        let healthy = self.cheapest(request, now, |entry| !entry.detector.is_suspect());
        // While requests go unserved, those without a slot would wait only to go there later.
        let full = healthy.is_none() && (allow_suspect || self.loses_requests());
        if (full || self.is_under_floor())
            && let Some(key) = self.returning(request, now)
        {
            return Some(key);
        }
        if healthy.is_some() || !allow_suspect {
            return healthy;
        }
        // A non-idempotent request is better refused, which proves that it did not run, than sent
        // to a server that probably fails it. If all servers are suspect, they probably share one
        // fault, and waiting for another server does not help.
        let healthy = self.servers.values().any(ServerEntry::is_healthy);
        let required = if request.idempotent || !healthy {
            0.0
        } else {
            SUCCESS_RATE_MIN
        };
        self.cheapest(request, now, |entry| {
            entry.detector.is_suspect() && entry.detector.success_rate() >= required
        })
    }

    /// A healthy, idle server without a recent response, if the request may run again. Where many
    /// servers are suspect, their trials could use up all such requests, and healthy servers that
    /// non-idempotent requests avoid would stay idle. While requests go unserved at a service
    /// without explorers, others visit these servers.
    fn long_unvisited(&self, request: &RequestInfo, now: Moment) -> Option<ServerKey> {
        let instead = !request.idempotent && self.lacks_explorers() && self.loses_requests();
        if !request.may_explore() && !instead {
            return None;
        }
        let servers = self.servers.iter().filter(|(_, entry)| {
            let detector = &entry.detector;
            let idle = entry.is_open(now) && entry.load() == 0 && now >= entry.backoff_until;
            idle && !detector.is_suspect()
                && detector
                    .since_success(now)
                    .is_none_or(|age| age > VISIT_INTERVAL)
        });
        servers.choose(&mut rand::rng()).map(|(key, _)| key)
    }

    /// Whether a request has time for a trial and a further attempt.
    pub(super) fn has_trial_time(&self, request: &RequestInfo, now: Moment) -> bool {
        let typical = self.typical_duration(&request.route, request.target_latency);
        Self::is_trial_time(request, typical, now)
    }

    /// The same for a request that usually takes `typical`.
    pub(super) fn is_trial_time(request: &RequestInfo, typical: Duration, now: Moment) -> bool {
        now + typical * TRIAL_DURATIONS <= request.deadline
    }

    /// The suspect whose trial has been due for longest, if the request may run again and has time
    /// for it.
    pub(super) fn due_trial(&self, request: &RequestInfo, now: Moment) -> Option<ServerKey> {
        // A trial that can't be retried would cost its request.
        let retry = self
            .retry_budget
            .has_room(self.reserved_share(request, now), now);
        if !request.may_explore() || !self.has_trial_time(request, now) || !retry {
            return None;
        }
        self.servers
            .iter()
            .filter(|(_, entry)| entry.is_open(now) && entry.detector.is_trial_due(now))
            .filter(|(_, entry)| self.admits_body(entry, request, now))
            .min_by_key(|(_, entry)| entry.detector.next_trial())
            .map(|(key, _)| key)
    }

    /// An idle suspect that a request which can't be sent again gives a chance to return. Services
    /// that get few other requests have few other trials, and lose all their servers to suspicion
    /// one by one. Each trial may cost its request.
    pub(super) fn returning(&self, request: &RequestInfo, now: Moment) -> Option<ServerKey> {
        if request.idempotent || !self.lacks_explorers() {
            return None;
        }
        let silence = if self.loses_requests() {
            RETURN_DELAY_LOSING
        } else {
            RETURN_DELAY
        };
        // Spreads the instances over the suspects.
        let spread = || Duration::from_millis(rand::rng().random_range(0..RETURN_SPREAD_MS));
        self.servers
            .iter()
            .filter(|(key, entry)| {
                let idle = entry.load() == 0 && now >= entry.backoff_until;
                entry.is_open(now)
                    && idle
                    && entry.detector.may_return(silence, now)
                    && !request.tried.contains(key)
            })
            .min_by_key(|(_, entry)| entry.detector.last_evidence() + spread())
            .map(|(key, _)| key)
    }

    /// Whether too few requests arrive that can be sent again, and thus show the state of servers.
    pub(super) fn lacks_explorers(&self) -> bool {
        self.explorer_share < EXPLORER_SHARE_MIN
    }

    /// Whether so many requests go unserved that the floor may count.
    fn loses_requests(&self) -> bool {
        self.loss_level() > 0.0
    }

    /// How far the share of requests that go unserved has come towards one at which the floor counts,
    /// 0 to 1.
    fn loss_level(&self) -> f64 {
        if self.unserved_rate > UNSERVED_MAX {
            return 1.0;
        }
        ((self.overdue_rate - OVERDUE_LOW) / (OVERDUE_HIGH - OVERDUE_LOW)).clamp(0.0, 1.0)
    }

    /// Trials that a request which can't be sent again adds to those that are allowed. While few
    /// requests go unserved, most trials would cost more than they bring back.
    pub(super) fn return_share(&self) -> f64 {
        let level = self.loss_level();
        if level > 0.0 {
            RETURN_SHARE * level
        } else {
            RETURN_SHARE
        }
    }

    /// Whether fewer servers than the floor are in use while requests go unserved, and trials by
    /// requests that can't be sent again are allowed.
    fn is_under_floor(&self) -> bool {
        let healthy = self.usable_count() - self.suspect_count();
        self.return_allowance >= 1.0
            && self.loses_requests()
            && (healthy as f64) < self.usable_count() as f64 * FLOOR_SHARE
    }

    fn cheapest(
        &self,
        request: &RequestInfo,
        now: Moment,
        eligible: impl Fn(&ServerEntry) -> bool,
    ) -> Option<ServerKey> {
        let mut best: Option<(f64, ServerKey)> = None;
        let ramps = self.lacks_explorers();
        for (key, entry) in &self.servers {
            let free = entry.is_open(now)
                && entry.load() < entry.server.slots
                && (!ramps || entry.own_running < entry.detector.running_max());
            if !free
                || now < entry.backoff_until
                || !eligible(entry)
                || request.tried.contains(&key)
                || !self.admits_body(entry, request, now)
            {
                continue;
            }
            let cost = self.cost(entry, request.may_explore(), now)
                + self.body_cost(entry, request.body, now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Cost of a server, in average durations; the cheapest is chosen. `explore` attracts the
    /// request to servers without a recent response: it can be sent again, and reveals their state.
    fn cost(&self, entry: &ServerEntry, explore: bool, now: Moment) -> f64 {
        let options = &self.options;
        let utilization = f64::from(entry.load()) / f64::from(entry.server.slots.max(1));
        let mut cost = entry.duration_ratio.max(DURATION_RATIO_MIN)
            + entry.detector.score()
            + entry.shed_rate * options.shed_cost;
        cost += (1.0 - entry.detector.success_rate()) * FAILURE_COST;
        cost +=
            (utilization - HIGH_UTILIZATION).max(0.0) / (1.0 - HIGH_UTILIZATION) * CONGESTION_COST;
        cost += utilization * LOAD_COST;
        if now < entry.warm_at {
            cost += WARMUP_RATIO - 1.0;
        }
        if *entry.server.domain != *options.domain {
            cost += options.remote_cost;
        }
        let age = entry.detector.since_success(now);
        let stale = age.map_or(options.staleness_max, |age| {
            (age.as_secs_f64() * options.staleness_cost).min(options.staleness_max)
        });
        if explore {
            // A request in flight there already reveals its state.
            let known = entry.load() > 0;
            cost -= if known { 0.0 } else { stale };
        } else {
            cost += stale * self.recency_weight();
            cost += self.recency_weight() * options.unproven_cost
                / (1.0 + f64::from(entry.detector.success_streak()));
        }
        cost + rand::rng().random_range(0.0..JITTER_MAX)
    }

    /// Weight of a server's recency in its cost, 0 to 1. While failures are rare, they come from
    /// servers that have just begun to fail, which those with a recent response have not. While
    /// failures are common, recency is weak evidence, and sending all requests to few servers
    /// leaves healthy ones idle.
    /// The same holds from far fewer failures on where no other requests visit the servers that are
    /// passed over.
    fn recency_weight(&self) -> f64 {
        if self.lacks_explorers() && self.unserved_rate > UNSERVED_LOW {
            return 0.0;
        }
        ((FAILURE_RATE_HIGH - self.failure_rate) / (FAILURE_RATE_HIGH - FAILURE_RATE_LOW))
            .clamp(0.0, 1.0)
    }

    /// Takes a slot at a server for a request.
    pub(super) fn assign(
        &mut self,
        key: ServerKey,
        request: &RequestInfo,
        now: Moment,
    ) -> Box<Assignment> {
        let in_flight = self.own_running() + 1;
        self.shares.charge(request, in_flight);
        let entry = &mut self.servers[key];
        entry.own_running += 1;
        entry.bytes.take(request.body);
        entry.limit.take(now);
        let trial = entry.detector.is_suspect();
        if trial {
            entry.detector.set_in_trial(true);
            self.return_allowance = (self.return_allowance - 1.0).max(0.0);
        }
        Box::new(Assignment {
            key,
            server: entry.server.clone(),
            trial,
            running: entry.load(),
            since_success: entry.detector.since_success(now),
            score: entry.detector.score(),
            limit: entry.limit.rate(),
            body: request.body,
        })
    }
}
