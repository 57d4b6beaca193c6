//! Queued requests.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::Refusal;
use super::RefusalCause;
use super::Released;
use super::RequestInfo;
use super::ServerEntry;
use super::ServerKey;
use super::WaitKey;
use super::Waiter;
use super::order::Ahead;

/// Time from when a request went before others in the queue until it is checked whether they still
/// have time: the check takes as many steps as there are servers for each of them.
const OVERTAKEN_INTERVAL: Duration = Duration::from_millis(50);

/// What the choice of a server for a queued request depends on.
#[derive(Eq, PartialEq)]
struct Needs {
    idempotent: bool,
    may_explore: bool,
    allow_suspect: bool,
    /// Whether there is time for a trial.
    trial_time: bool,
    /// Share of the retry budget that is reserved for others, as bits.
    reserved: u64,
    tried: Vec<ServerKey>,
    /// Size of the body, if servers are known to hold only so many bytes; 0 otherwise.
    body: u64,
}

impl Balancer {
    /// Takes requests out of the queue: those that get a slot now, and those that can no longer be
    /// served in time.
    pub fn release_queued(&mut self, now: Moment) -> Vec<Released> {
        let in_flight = self.own_running();
        self.shares.advance(in_flight);
        let mut released = self.refuse_closing(now);
        released.extend(self.refuse_unservable());
        released.extend(self.expire(now));
        released.extend(self.refuse_excess(now));
        let is_open = self.servers.values().any(|entry| entry.is_open(now));
        let queued = if is_open {
            self.queued_in_order(now)
        } else {
            Vec::new()
        };
        let has_healthy = self.has_healthy();
        // Requests of equal needs find no server either: a long queue would take long to search.
        let mut unserved: Vec<Needs> = Vec::new();
        for key in queued {
            let waiter = &self.queue[key];
            let needs = self.needs(waiter, has_healthy, now);
            if unserved.contains(&needs) {
                continue;
            }
            let Some(server) = self.pick(&waiter.request, needs.allow_suspect, now) else {
                unserved.push(needs);
                continue;
            };
            let line = waiter.line;
            self.lines.serve(line, now);
            let Some(waiter) = self.unqueue(key) else {
                continue;
            };
            let result = Ok(self.assign(server, &waiter.request, now));
            released.push(Released { key, result });
        }
        released.extend(self.refuse_hopeless(now));
        released
    }

    fn needs(&self, waiter: &Waiter, has_healthy: bool, now: Moment) -> Needs {
        let request = &waiter.request;
        let typical = self.typical_of(waiter);
        Needs {
            idempotent: request.idempotent,
            may_explore: request.may_explore(),
            allow_suspect: self.has_waited(request, waiter.since, now) || !has_healthy,
            trial_time: Self::is_trial_time(request, typical, now),
            reserved: self.reserved_share(request, now).to_bits(),
            tried: request.tried.clone(),
            body: if self.byte_limit(now).is_some() {
                request.body
            } else {
                0
            },
        }
    }

    /// Takes out requests that will be overtaken by newer ones until their deadline.
    fn refuse_hopeless(&mut self, now: Moment) -> Vec<Released> {
        let late: Vec<WaitKey> = self
            .queue
            .iter()
            .filter(|(_, waiter)| self.misses_target(waiter, now))
            .map(|(key, _)| key)
            .collect();
        if late.is_empty() {
            return Vec::new();
        }
        self.overload.record(now);
        let hopeless = |key: &WaitKey| {
            let waiter = &self.queue[*key];
            let request = &waiter.request;
            self.overload.lasts_until(request.deadline, now)
                && !self.is_slow(request, self.typical_of(waiter))
        };
        let hopeless: Vec<WaitKey> = late.into_iter().filter(hopeless).collect();
        let wait = self.estimate_wait(self.queue.len() - hopeless.len() + 1, now);
        let refuse = |key| {
            self.unqueue(key);
            let result = Err(Self::refusal(
                RefusalCause::NoRoom,
                wait.unwrap_or_default(),
            ));
            Released { key, result }
        };
        hopeless.into_iter().map(refuse).collect()
    }

    /// Whether a request that usually takes `typical` misses its latency target however soon it is
    /// sent, so that newer ones do not overtake it. Without a queue whoever sends most would get
    /// most: only where teams are named.
    pub(super) fn is_slow(&self, request: &RequestInfo, typical: Duration) -> bool {
        self.shares.has_teams() && typical > request.target_latency
    }

    /// Queues a request that `ahead` others go before.
    pub(super) fn enqueue(&mut self, request: RequestInfo, ahead: usize, now: Moment) -> WaitKey {
        let route = self.durations.key(&request.route);
        let line = self.lines.enter(&request, &self.shares, now);
        self.queue.insert(Waiter {
            request,
            since: now,
            ahead,
            route,
            line,
        })
    }

    fn unqueue(&mut self, key: WaitKey) -> Option<Waiter> {
        let waiter = self.queue.remove(key)?;
        self.lines.leave(waiter.line);
        Some(waiter)
    }

    /// Usual duration of a queued request.
    fn typical_of(&self, waiter: &Waiter) -> Duration {
        let target = waiter.request.target_latency;
        self.durations.typical_of(waiter.route, target)
    }

    /// Whether a queued request would miss its latency target if it were sent now.
    pub(super) fn misses_target(&self, waiter: &Waiter, now: Moment) -> bool {
        let request = &waiter.request;
        now + self.typical_of(waiter) > request.arrived + request.target_latency
    }

    /// Whether a request would miss its latency target if it were sent now.
    pub(super) fn is_late(&self, request: &RequestInfo, now: Moment) -> bool {
        let typical = self.typical_duration(&request.route, request.target_latency);
        now + typical > request.arrived + request.target_latency
    }

    /// Takes out requests that would wait beyond their deadline, since limits or pauses of servers
    /// have reduced what this instance may send, or since others have gone before them; and those
    /// for which the queue is too long.
    fn refuse_excess(&mut self, now: Moment) -> Vec<Released> {
        let reduced = std::mem::take(&mut self.limits_reduced);
        if !reduced && !self.is_overtaken(now) {
            return Vec::new();
        }
        self.overtaken_since = None;
        let mut kept = 0;
        let mut released = Vec::new();
        for key in self.queued_in_order(now) {
            let ahead = Ahead { all: kept, own: 0 };
            let late = self.lateness(&self.queue[key].request, ahead, now);
            if kept < self.options.queue_max && late.is_some_and(|late| late.is_zero()) {
                kept += 1;
                continue;
            }
            self.unqueue(key);
            let refusal = Self::refusal(RefusalCause::NoRoom, late.unwrap_or_default());
            let result = Err(Refusal {
                ahead: kept,
                ..refusal
            });
            released.push(Released { key, result });
        }
        released
    }

    /// Whether requests that are queued now may have to wait for longer than when they came.
    fn is_overtaken(&self, now: Moment) -> bool {
        let due = |since| now >= since + OVERTAKEN_INTERVAL;
        self.queue.len() > self.options.queue_max || self.overtaken_since.is_some_and(due)
    }

    /// Takes out requests that would not be answered before the end of this instance.
    fn refuse_closing(&mut self, now: Moment) -> Vec<Released> {
        if self.closing.is_none() {
            return Vec::new();
        }
        self.refuse_if(RefusalCause::Leaving, |balancer, waiter| {
            balancer.ends_before(&waiter.request, now)
        })
    }

    /// Takes out all requests if no server is left for them.
    fn refuse_unservable(&mut self) -> Vec<Released> {
        if self.servers.values().any(ServerEntry::is_usable) {
            return Vec::new();
        }
        self.refuse_if(RefusalCause::NoServer, |_, _| true)
    }

    fn expire(&mut self, now: Moment) -> Vec<Released> {
        self.refuse_if(RefusalCause::Deadline, |balancer, waiter| {
            let request = &waiter.request;
            let half = balancer.typical_of(waiter) / 2;
            now + half > request.deadline
        })
    }

    /// Takes out the requests for which `hopeless` holds.
    fn refuse_if(
        &mut self,
        cause: RefusalCause,
        hopeless: impl Fn(&Self, &Waiter) -> bool,
    ) -> Vec<Released> {
        let queue = self.queue.iter();
        let hopeless = queue.filter(|(_, waiter)| hopeless(self, waiter));
        let keys: Vec<WaitKey> = hopeless.map(|(key, _)| key).collect();
        let refuse = |key| {
            self.unqueue(key);
            let result = Err(Self::refusal(cause, Duration::ZERO));
            Released { key, result }
        };
        keys.into_iter().map(refuse).collect()
    }

    /// Queued requests that went before a queued one when it came.
    pub fn queued_behind(&self, key: WaitKey) -> Option<usize> {
        self.queue.get(key).map(|waiter| waiter.ahead)
    }

    /// Drops a queued request whose caller disconnected.
    pub fn cancel(&mut self, key: WaitKey) {
        self.unqueue(key);
    }
}
