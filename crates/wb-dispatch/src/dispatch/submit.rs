//! Submission of a request: admission by the limits, then the queue.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::request::QueuedRequest;

use super::Dispatcher;
use super::RequestKey;
use super::Stage;
use super::TrackedRequest;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::Verdict;
use crate::queue::QueueEntry;

/// Maximum number of times that a request is forwarded.
const HOPS_MAX: u8 = 2;

impl Dispatcher {
    pub(super) fn submit_request(&mut self, request: QueuedRequest, now: Moment) -> RequestKey {
        let ahead = self.queues.queued(request.duration);
        let tracked = TrackedRequest {
            request,
            stage: Stage::Queued,
            submitted: now,
            ahead,
            counted: false,
        };
        let key = self.requests.insert(tracked);
        match self.admit(key, now) {
            Ok(()) => {
                self.enqueue(key, now);
                self.assign_slots(now);
            }
            Err(reason) => self.refuse(key, reason, now),
        }
        key
    }

    /// Checks the limits of the row. Without owned servers this instance is not a home: the request
    /// is then forwarded, unless it was forwarded here.
    fn admit(&mut self, key: RequestKey, now: Moment) -> Result<(), Reason> {
        let request = self.requests[key].request.clone();
        if request.deadline <= now {
            return Err(Reason::Deadline);
        }
        if self.servers.is_empty() {
            return if request.hops > 0 {
                Err(Reason::NotHome)
            } else {
                Ok(())
            };
        }
        self.retry_budget.record_request();
        self.mirror_budget.record_request();
        let queued = self.queues.queued_in_class(&request.row.class);
        let Some(state) = self.rows.get_mut(&request.row.class) else {
            return Err(Reason::UnknownClass);
        };
        if request.admitted {
            return Ok(());
        }
        state.demand.count(now);
        let local_limit = |limit: u32| (f64::from(limit) * state.share).ceil().max(1.0) as u32;
        if queued >= local_limit(state.row.queue) as usize {
            return Err(Reason::QueueFull);
        }
        if state.running >= local_limit(state.row.concurrency) {
            return Err(Reason::Concurrency);
        }
        if !state.bucket.try_take(state.row.rate * state.share, now) {
            return Err(Reason::RateLimit);
        }
        state.running += 1;
        self.requests[key].counted = true;
        Ok(())
    }

    fn enqueue(&mut self, key: RequestKey, now: Moment) {
        let request = self.requests[key].request.clone();
        if self.servers.is_empty() {
            self.forward_or_refuse(key, now);
            return;
        }
        let entry = QueueEntry {
            key,
            queued_at: now,
            deadline: request.deadline,
        };
        let queued = self
            .queues
            .push(&request.row.class, request.duration, request.caller, entry);
        if !queued {
            self.refuse(key, Reason::UnknownClass, now);
        }
    }

    /// Forwards a request for a service of which this instance is not a home.
    fn forward_or_refuse(&mut self, key: RequestKey, now: Moment) {
        match self.choose_any_home(now) {
            Some((home, trace)) => self.forward(key, home, trace, now),
            None => self.refuse(key, Reason::NoCapacity, now),
        }
    }

    pub(super) fn can_forward(&self, key: RequestKey) -> bool {
        let tracked = self.requests.get(key);
        tracked.is_some_and(|tracked| tracked.request.hops < HOPS_MAX)
    }

    pub(super) fn refuse(&mut self, key: RequestKey, reason: Reason, now: Moment) {
        let trace = self.new_trace(key, now);
        self.requests[key].stage = Stage::Refused;
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Refuse(Refusal::not_run(reason)),
            trace,
        });
    }

    /// Trace of a decision about a request, without its candidates.
    pub(super) fn new_trace(&mut self, key: RequestKey, now: Moment) -> DecisionTrace {
        self.order += 1;
        let tracked = self.requests.get(key);
        DecisionTrace {
            table: self.version,
            order: self.order,
            tag: 0.0,
            ahead: tracked.map_or(0, |tracked| tracked.ahead),
            waited: tracked.map_or(Duration::ZERO, |tracked| {
                now.saturating_sub(tracked.submitted)
            }),
            candidates: Vec::new(),
        }
    }
}
