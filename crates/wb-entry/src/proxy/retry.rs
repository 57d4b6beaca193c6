//! Decision, attempt, and another attempt where that is allowed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use ractor::ActorRef;
use ractor::call_t;
use wb_dispatch::Verdict;
use wb_event::Event;
use wb_event::emit;
use wb_http::Body;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::backend;
use super::home;
use super::request_body::RequestBody;
use super::request_info::RequestInfo;
use crate::Context;
use crate::service;
use crate::service::DecisionReply;
use crate::service::ServiceMessage;

/// Attempts at one request.
const ATTEMPTS_MAX: usize = 4;
/// Longest wait for a word on the retry budget, in milliseconds.
const BUDGET_MS: u64 = 100;

/// How one attempt ended.
pub(super) enum AttemptResult {
    /// With an answer.
    Answered(Response<Body>),
    /// With an answer that tells an error of the server.
    ServerError(Response<Body>),
    /// It was not run; another server may take it, within the retry budget.
    NotRun(Reason),
    /// It was not run; another home may take it.
    OtherHome(Reason),
    /// It was not run, and trying again would not help.
    Refused(Reason),
    /// It may have been inflight.
    Unknown(Reason),
}

/// One request on its way.
pub(super) struct InFlight {
    pub(super) context: Arc<Context>,
    pub(super) info: Arc<RequestInfo>,
    pub(super) parts: Parts,
    pub(super) body: RequestBody,
    pub(super) actor: ActorRef<ServiceMessage>,
    /// Body of the answer, if it was read whole.
    pub(super) buffered: Option<Bytes>,
    /// Whether an earlier attempt may have been inflight.
    pub(super) maybe_run: bool,
    /// Whether a byte may have been handed over, for whoever outlives the inflight.
    pub(super) maybe_sent: Arc<AtomicBool>,
    pub(super) started: Instant,
}

impl InFlight {
    /// Tries until there is an answer, or nothing more is allowed.
    pub(super) async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut last = Reason::NoCapacity;
        for attempt in 0..ATTEMPTS_MAX {
            let result = self.attempt(attempt).await?;
            let (reason, uses_budget) = match result {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::ServerError(response) => {
                    if !self.may_retry().await {
                        return Ok(response);
                    }
                    self.maybe_run = true;
                    (Reason::BrokenAnswer, false)
                }
                AttemptResult::Refused(reason) => return Err(self.refusal(reason)),
                AttemptResult::OtherHome(reason) => (reason, false),
                AttemptResult::NotRun(reason) => (reason, true),
                AttemptResult::Unknown(reason) => {
                    if !self.may_retry().await {
                        return Err(Refusal::unknown(reason));
                    }
                    self.maybe_run = true;
                    (reason, false)
                }
            };
            last = reason;
            if !self.body.is_available() || (uses_budget && !self.take_budget().await) {
                break;
            }
            self.context.metrics.retries.inc();
            emit!(
                Event::Retried,
                "request={} reason={reason} attempt={attempt}",
                self.info.id
            );
        }
        Err(self.refusal(last))
    }

    async fn attempt(&mut self, attempt: usize) -> Result<AttemptResult, Refusal> {
        let mut work = self.info.work();
        work.admitted |= attempt > 0 && self.is_home();
        let route = self.info.route.clone();
        let decided = service::offer(&self.actor, work, route, self.info.size).await;
        let DecisionReply {
            decision,
            guard,
            copy,
            ..
        } = decided.map_err(|refusal| self.refusal(refusal.reason))?;
        if attempt == 0 {
            let added = self.started.elapsed().as_secs_f64();
            self.context.metrics.added_latency.observe(added);
        }
        match decision.verdict {
            Verdict::Refuse(refusal) => Err(self.refusal(refusal.reason)),
            Verdict::Pass(name) => Ok(home::send(self, &name, guard).await),
            Verdict::Run(grant) => {
                if let (Some(copy), Some(guard)) = (&grant.copy, copy) {
                    backend::send_copy(self, copy, guard);
                }
                Ok(backend::send(self, &grant, guard).await)
            }
        }
    }

    /// Whether this instance owns servers of the service.
    pub(super) fn is_home(&self) -> bool {
        let view = self.context.view();
        let placement = view.services.get(&self.info.row.service);
        placement.is_some_and(|placement| {
            let mut homes = placement.homes.iter();
            homes.any(|slots| slots.home.name == *self.context.instance_name())
        })
    }

    /// The refusal for a reason: the request was not run unless an attempt may have run it.
    fn refusal(&self, reason: Reason) -> Refusal {
        if self.maybe_run {
            Refusal::unknown(reason)
        } else {
            self.maybe_sent.store(false, Ordering::Relaxed);
            Refusal::not_run(reason)
        }
    }

    /// Whether work that may have been run can be run again.
    async fn may_retry(&self) -> bool {
        let left = self.context.clock.remaining(self.info.deadline);
        let repeatable =
            self.info.idempotent && self.body.is_available() && !self.body.is_aborted();
        repeatable && !left.is_zero() && self.take_budget().await
    }

    async fn take_budget(&self) -> bool {
        let allowed = call_t!(self.actor, ServiceMessage::Retry, BUDGET_MS);
        allowed.unwrap_or(false)
    }
}
