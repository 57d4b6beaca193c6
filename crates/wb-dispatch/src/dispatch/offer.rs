//! Taking a request: limits, then the queue.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::request::QueuedRequest;

use super::Dispatcher;
use super::Job;
use super::RequestKey;
use super::Stage;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::Verdict;
use crate::queue::QueueEntry;

/// Times that a request may be passed on.
const HOPS_MAX: u8 = 2;

impl Dispatcher {
    pub(super) fn take(&mut self, work: QueuedRequest, now: Moment) -> RequestKey {
        let ahead = self.queues.queued(work.duration);
        let job = Job {
            work,
            stage: Stage::Waiting,
            since: now,
            ahead,
            counted: false,
        };
        let key = self.jobs.insert(job);
        match self.admit(key, now) {
            Ok(()) => {
                self.enqueue(key, now);
                self.decide(now);
            }
            Err(reason) => self.refuse(key, reason, now),
        }
        key
    }

    /// Checks the limits of the row, or passes the request on where this instance is no home.
    fn admit(&mut self, key: RequestKey, now: Moment) -> Result<(), Reason> {
        let work = self.jobs[key].work.clone();
        if work.deadline <= now {
            return Err(Reason::Deadline);
        }
        if self.usage.is_empty() {
            return if work.hops > 0 {
                Err(Reason::NotHome)
            } else {
                Ok(())
            };
        }
        self.retries.record_request();
        self.copies.record_request();
        let waiting = self.queues.queued_in_class(&work.row.class);
        let Some(state) = self.rows.get_mut(&work.row.class) else {
            return Err(Reason::UnknownClass);
        };
        if work.admitted {
            return Ok(());
        }
        state.demand.count(now);
        let part = |limit: u32| (f64::from(limit) * state.share).ceil().max(1.0) as u32;
        if waiting >= part(state.row.queue) as usize {
            return Err(Reason::QueueFull);
        }
        if state.running >= part(state.row.concurrency) {
            return Err(Reason::Concurrency);
        }
        if !state.bucket.try_take(state.row.rate * state.share, now) {
            return Err(Reason::RateLimit);
        }
        state.running += 1;
        self.jobs[key].counted = true;
        Ok(())
    }

    fn enqueue(&mut self, key: RequestKey, now: Moment) {
        let work = self.jobs[key].work.clone();
        if self.usage.is_empty() {
            self.pass_or_refuse(key, now);
            return;
        }
        let waiting = QueueEntry {
            key,
            since: now,
            deadline: work.deadline,
        };
        let queued = self
            .queues
            .push(&work.row.class, work.duration, work.caller, waiting);
        if !queued {
            self.refuse(key, Reason::UnknownClass, now);
        }
    }

    /// Passes on a request of a service that this instance is no home of.
    fn pass_or_refuse(&mut self, key: RequestKey, now: Moment) {
        match self.any_home(now) {
            Some((home, trace)) => self.pass(key, home, trace, now),
            None => self.refuse(key, Reason::NoCapacity, now),
        }
    }

    pub(super) fn may_pass(&self, key: RequestKey) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| job.work.hops < HOPS_MAX)
    }

    pub(super) fn refuse(&mut self, key: RequestKey, reason: Reason, now: Moment) {
        let trace = self.trace(key, now);
        self.jobs[key].stage = Stage::Refused;
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Refuse(Refusal::not_run(reason)),
            trace,
        });
    }

    /// What a decision about a request is explained by, but for its candidates.
    pub(super) fn trace(&mut self, key: RequestKey, now: Moment) -> DecisionTrace {
        self.order += 1;
        let job = self.jobs.get(key);
        DecisionTrace {
            table: self.version,
            order: self.order,
            tag: 0.0,
            ahead: job.map_or(0, |job| job.ahead),
            waited: job.map_or(Duration::ZERO, |job| now.saturating_sub(job.since)),
            candidates: Vec::new(),
        }
    }
}
