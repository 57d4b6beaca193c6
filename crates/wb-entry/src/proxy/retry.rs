//! Retry loop: each attempt asks for a decision and carries it out.

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
use super::outbound_body::OutboundBody;
use super::request_info::RequestInfo;
use crate::Context;
use crate::service;
use crate::service::DecisionReply;
use crate::service::ServiceMessage;

/// Maximum number of attempts at one request.
const ATTEMPTS_MAX: usize = 4;
/// Longest wait for the service actor's reply about the retry budget, in milliseconds.
const BUDGET_MS: u64 = 100;

/// Result of one attempt for the request. What the attempt shows about the server is an
/// `AttemptOutcome`.
pub(super) enum AttemptResult {
    /// A response to return to the caller.
    Answered(Response<Body>),
    /// A response with a server error status.
    ServerError(Response<Body>),
    /// The request was not run; it may be retried within the retry budget.
    NotRun(Reason),
    /// The request was not run at the home that was tried; it may be retried at another one without
    /// using the budget.
    OtherHome(Reason),
    /// The request was not run and a retry would not help.
    Refused(Reason),
    /// The request may have been run.
    Unknown(Reason),
}

/// A request in flight, across all its attempts.
pub(super) struct InFlight {
    pub(super) context: Arc<Context>,
    pub(super) info: Arc<RequestInfo>,
    pub(super) parts: Parts,
    pub(super) body: OutboundBody,
    pub(super) actor: ActorRef<ServiceMessage>,
    /// Body of the response, if it was buffered completely.
    pub(super) buffered: Option<Bytes>,
    /// Whether an earlier attempt may have run the request.
    pub(super) maybe_run: bool,
    /// Whether any byte of the request may have been sent. Shared with the guard of the execution
    /// record, which reads it when the request is cancelled.
    pub(super) maybe_sent: Arc<AtomicBool>,
    pub(super) started: Instant,
}

impl InFlight {
    /// Attempts the request until there is a response or no further attempt is allowed.
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
            if !self.body.is_available() || (uses_budget && !self.try_spend_retry().await) {
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
        let mut request = self.info.to_queued();
        request.admitted |= attempt > 0 && self.is_home();
        let route = self.info.route.clone();
        let decided = service::submit(&self.actor, request, route, self.info.size).await;
        let DecisionReply {
            decision,
            guard,
            mirror,
            ..
        } = decided.map_err(|refusal| self.refusal(refusal.reason))?;
        if attempt == 0 {
            let added = self.started.elapsed().as_secs_f64();
            self.context.metrics.added_latency.observe(added);
        }
        match decision.verdict {
            Verdict::Refuse(refusal) => Err(self.refusal(refusal.reason)),
            Verdict::Forward(name) => Ok(home::send(self, &name, guard).await),
            Verdict::Run(assignment) => {
                if let (Some(mirror), Some(guard)) = (&assignment.mirror, mirror) {
                    backend::send_mirror(self, mirror, guard);
                }
                Ok(backend::send(self, &assignment, guard).await)
            }
        }
    }

    /// Returns whether this instance is a home of the service.
    pub(super) fn is_home(&self) -> bool {
        let view = self.context.view();
        let placement = view.services.get(&self.info.row.service);
        placement.is_some_and(|placement| {
            let mut homes = placement.homes.iter();
            homes.any(|slots| slots.home.name == *self.context.instance_name())
        })
    }

    /// Builds the refusal for a reason. Its outcome is unknown if an attempt may have run the
    /// request.
    fn refusal(&self, reason: Reason) -> Refusal {
        if self.maybe_run {
            Refusal::unknown(reason)
        } else {
            self.maybe_sent.store(false, Ordering::Relaxed);
            Refusal::not_run(reason)
        }
    }

    /// Returns whether a request that may have been run can be run again. If it can, one retry of
    /// the budget is spent.
    async fn may_retry(&self) -> bool {
        let left = self.context.clock.remaining(self.info.deadline);
        let repeatable =
            self.info.idempotent && self.body.is_available() && !self.body.is_aborted();
        repeatable && !left.is_zero() && self.try_spend_retry().await
    }

    async fn try_spend_retry(&self) -> bool {
        let allowed = call_t!(self.actor, ServiceMessage::SpendRetry, BUDGET_MS);
        allowed.unwrap_or(false)
    }
}
