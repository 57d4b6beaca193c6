//! Admission of new requests, retries and hedged sends.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::Decision;
use super::Refusal;
use super::RefusalCause;
use super::RequestInfo;
use super::finish::UNSERVED_ALPHA;
use super::order::Ahead;
use super::pick::RETURN_MAX;
use super::repeats::RESERVED_SHARE;
use crate::closing::Closing;
use crate::hedge;

/// Share of the retry budget that hedged sends must leave unless they are urgent, since the slow
/// first send mostly succeeds anyway.
const HEDGE_RESERVED_SHARE: f64 = 0.6;
/// Weight of the newest request in the share of those that can be sent again.
const EXPLORER_ALPHA: f64 = 0.02;
/// Shortest time after which a refused request may be tried again.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest time after which a refused request may be tried again.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

impl Balancer {
    /// Decides on a new request from a caller.
    pub fn admit(&mut self, request: RequestInfo, now: Moment) -> Decision {
        self.retry_budget.record_request(now);
        if let Some(hedging) = &mut self.hedging {
            hedging.record_request(now);
        }
        self.shares.record(&request);
        self.ranks.record(request.priority, now);
        let explorer = f64::from(u8::from(request.may_explore()));
        self.explorer_share += (explorer - self.explorer_share) * EXPLORER_ALPHA;
        self.decide(request, now)
    }

    /// Sends from now on only requests that are answered before the end of this instance.
    pub fn close(&mut self, closing: Closing) {
        self.closing = Some(closing);
    }

    /// Whether this instance ends before a request that is sent now would be answered.
    pub(super) fn ends_before(&self, request: &RequestInfo, now: Moment) -> bool {
        let typical = self.durations.known(&request.route);
        self.closing
            .is_some_and(|closing| !closing.admits(request, typical, now))
    }

    /// Decides on a request that a server shed or that is retried. Uses the retry budget.
    pub fn retry(&mut self, request: RequestInfo, now: Moment) -> Decision {
        let reserved = self.reserved_share(&request, now);
        self.decide_within_budget(reserved, request, now)
    }

    /// Decides on a hedged send, a second one while the first takes long. It goes to a free slot that
    /// no queued request could use, or is refused, since the first response may arrive meanwhile.
    /// Uses the retry budget and the operators' limit only if it is sent.
    pub fn hedge(&mut self, request: RequestInfo, now: Moment) -> Decision {
        if let Some(cause) = self.hedge_limit(&request, now) {
            return Self::refuse(cause, RETRY_AFTER_MIN);
        }
        let fits = self.queued_ahead(&request) == 0 && !self.ends_before(&request, now);
        let key = fits
            .then(|| self.pick(&request, self.may_use_suspect(&request, now, now), now))
            .flatten();
        let Some(key) = key else {
            return Self::refuse(RefusalCause::NoRoom, RETRY_AFTER_MIN);
        };
        let reserved = if self.is_urgent(&request, now) {
            RESERVED_SHARE
        } else {
            HEDGE_RESERVED_SHARE
        };
        if !self.try_repeat(&request, reserved, now) {
            return self.refuse_repeat(&request, now);
        }
        if let Some(hedging) = &mut self.hedging {
            hedging.spend();
        }
        Decision::Send(self.assign(key, &request, now))
    }

    /// Why operators who limit hedged sends get none for a request now.
    fn hedge_limit(&self, request: &RequestInfo, now: Moment) -> Option<RefusalCause> {
        let hedging = self.hedging.as_ref()?;
        let median = hedging.median(&request.route).unwrap_or_default();
        if hedging.is_slow() {
            Some(RefusalCause::ServiceSlow)
        } else if !self.queue.is_empty() {
            Some(RefusalCause::NoRoom)
        } else if now + median > request.deadline {
            Some(RefusalCause::Deadline)
        } else if !hedging.has_room() {
            Some(RefusalCause::HedgeLimit)
        } else {
            None
        }
    }

    /// Whether a request probably fails without a hedged send: the server that it was sent to is
    /// suspect, or there is just enough time left for another one.
    fn is_urgent(&self, request: &RequestInfo, now: Moment) -> bool {
        let is_suspect = |key: &super::ServerKey| {
            let entry = self.servers.get(*key);
            entry.is_some_and(|entry| entry.detector.is_suspect())
        };
        let typical = self.typical_duration(&request.route, request.target_latency);
        request.tried.iter().any(is_suspect)
            || now + typical.mul_f64(hedge::DEADLINE_ROOM) >= request.deadline
    }

    fn decide_within_budget(
        &mut self,
        reserved: f64,
        request: RequestInfo,
        now: Moment,
    ) -> Decision {
        if self.ends_before(&request, now) {
            return Self::refuse(RefusalCause::Leaving, RETRY_AFTER_MIN);
        }
        if !self.try_repeat(&request, reserved, now) {
            return self.refuse_repeat(&request, now);
        }
        self.decide(request, now)
    }

    fn refuse_repeat(&self, request: &RequestInfo, now: Moment) -> Decision {
        let refusal = Self::refusal(RefusalCause::RetryBudget, RETRY_AFTER_MIN);
        Decision::Refuse(Refusal {
            over_share: self.is_over_share(request, now),
            ..refusal
        })
    }

    /// Decides on a request of which no byte was sent to the server that it was assigned to. Does
    /// not use the retry budget.
    pub fn reassign(&mut self, request: RequestInfo, now: Moment) -> Decision {
        self.shares.refund(&request);
        self.decide(request, now)
    }

    fn decide(&mut self, request: RequestInfo, now: Moment) -> Decision {
        if self.ends_before(&request, now) {
            return Self::refuse(RefusalCause::Leaving, RETRY_AFTER_MIN);
        }
        let untried = self
            .servers
            .iter()
            .any(|(key, entry)| entry.is_usable() && !request.tried.contains(&key));
        if !untried {
            return Self::refuse(RefusalCause::NoServer, RETRY_AFTER_MIN);
        }
        if !request.may_explore() {
            self.return_allowance = (self.return_allowance + self.return_share()).min(RETURN_MAX);
        }
        let in_flight = self.own_running();
        self.shares.advance(in_flight);
        let ahead = self.ahead_of(&request, now);
        let key = if ahead.all == 0 {
            self.pick(&request, self.may_use_suspect(&request, now, now), now)
        } else {
            // A trial takes no slot that queued requests could use, so it may pass them.
            self.due_trial(&request, now)
        };
        if let Some(key) = key {
            return Decision::Send(self.assign(key, &request, now));
        }
        let Some(late) = self.lateness(&request, ahead, now) else {
            // Other instances hold the limits of all servers, and may serve the request at once.
            return self.refuse_unserved(RETRY_AFTER_MIN, ahead.all, now);
        };
        let overtakes = self.shares.has_teams() && ahead.all < self.queue.len();
        let fits = self.has_place(overtakes) && late.is_zero();
        let hopeless = self.hopeless_wait(&request, now);
        if !fits || hopeless.is_some() {
            if let Some(key) = self.returning(&request, now) {
                return Decision::Send(self.assign(key, &request, now));
            }
            return self.refuse_unserved(late.max(hopeless.unwrap_or_default()), ahead.all, now);
        }
        if overtakes {
            self.overtaken_since.get_or_insert(now);
        }
        Decision::Wait(self.enqueue(request, ahead.all, now))
    }

    /// Whether the queue takes a request. One that goes before others takes the place of the last of
    /// them, which is taken out when the queue is checked next.
    fn has_place(&self, overtakes: bool) -> bool {
        let length = self.queue.len();
        let max = self.options.queue_max;
        length < max || (overtakes && length < max * 2)
    }

    /// Estimated time by which a request that waits behind others would miss its deadline. `None` if
    /// this instance may send no requests.
    pub(super) fn lateness(
        &self,
        request: &RequestInfo,
        ahead: Ahead,
        now: Moment,
    ) -> Option<Duration> {
        let wait = self.wait_behind(request, ahead, now)?;
        let average = self.typical_duration(&request.route, request.target_latency);
        let room = request.deadline.saturating_sub(now);
        Some(wait.saturating_add(average).saturating_sub(room))
    }

    /// Estimated wait of a request behind others. Where teams are named, those that come later may go
    /// before it: the rate at which its team is served tells how many do.
    fn wait_behind(&self, request: &RequestInfo, ahead: Ahead, now: Moment) -> Option<Duration> {
        let wait = self.estimate_wait(ahead.all + 1, now)?;
        if ahead.own == 0 {
            return Some(wait);
        }
        let line = self.lines.find(request);
        Some(wait.max(self.lines.wait(line, ahead.own, now)))
    }

    /// Estimated wait of a new request that would miss its latency target in the queue, and then be
    /// overtaken by newer ones until its deadline; `None` if it would not.
    fn hopeless_wait(&self, request: &RequestInfo, now: Moment) -> Option<Duration> {
        let typical = self.typical_duration(&request.route, request.target_latency);
        if !self.overload.lasts_until(request.deadline, now) || self.is_slow(request, typical) {
            return None;
        }
        let ahead = self.timely_ahead_of(request, now);
        let wait = self.wait_behind(request, ahead, now)?;
        self.is_late(request, now + wait).then_some(wait)
    }

    fn refuse_unserved(&mut self, retry_after: Duration, ahead: usize, now: Moment) -> Decision {
        self.overload.record(now);
        self.unserved_rate += (1.0 - self.unserved_rate) * UNSERVED_ALPHA;
        let refusal = Self::refusal(RefusalCause::NoRoom, retry_after);
        Decision::Refuse(Refusal { ahead, ..refusal })
    }

    fn refuse(cause: RefusalCause, retry_after: Duration) -> Decision {
        Decision::Refuse(Self::refusal(cause, retry_after))
    }

    pub(super) fn refusal(cause: RefusalCause, retry_after: Duration) -> Refusal {
        Refusal::new(cause, retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX))
    }

    /// Whether a request may go to a suspect server: it has waited for long, or no server is
    /// healthy.
    pub(super) fn may_use_suspect(
        &self,
        request: &RequestInfo,
        since: Moment,
        now: Moment,
    ) -> bool {
        self.has_waited(request, since, now) || !self.has_healthy()
    }

    /// Whether a request has waited for so long that it may go to a suspect server.
    pub(super) fn has_waited(&self, request: &RequestInfo, since: Moment, now: Moment) -> bool {
        let suspect_wait = request.target_latency.mul_f64(self.options.suspect_wait);
        now.saturating_sub(since) >= suspect_wait
    }

    /// Whether any server is healthy.
    pub(super) fn has_healthy(&self) -> bool {
        self.servers.values().any(super::ServerEntry::is_healthy)
    }
}
