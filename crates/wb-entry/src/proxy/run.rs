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
use super::intake::Intake;
use super::payload::Upload;
use crate::Context;
use crate::service;
use crate::service::Decided;
use crate::service::ServiceMessage;

/// Attempts at one request.
const TRIES: usize = 4;
/// Longest wait for a word on the retry budget, in milliseconds.
const BUDGET_MS: u64 = 100;

/// How one attempt ended.
pub(super) enum Step {
    /// With an answer.
    Answer(Response<Body>),
    /// With an answer that tells an error of the server.
    Failed(Response<Body>),
    /// It was not run; another server may take it, within the retry budget.
    NotRun(Reason),
    /// It was not run; another home may take it.
    Elsewhere(Reason),
    /// It was not run, and trying again would not help.
    Refused(Reason),
    /// It may have been run.
    Lost(Reason),
}

/// One request on its way.
pub(super) struct Run {
    pub(super) context: Arc<Context>,
    pub(super) intake: Arc<Intake>,
    pub(super) parts: Parts,
    pub(super) upload: Upload,
    pub(super) actor: ActorRef<ServiceMessage>,
    /// Body of the answer, if it was read whole.
    pub(super) kept: Option<Bytes>,
    /// Whether an earlier attempt may have been run.
    pub(super) maybe: bool,
    /// Whether a byte may have been handed over, for whoever outlives the run.
    pub(super) handed: Arc<AtomicBool>,
    pub(super) began: Instant,
}

impl Run {
    /// Tries until there is an answer, or nothing more is allowed.
    pub(super) async fn go(&mut self) -> Result<Response<Body>, Refusal> {
        let mut last = Reason::NoCapacity;
        for attempt in 0..TRIES {
            let step = self.attempt(attempt).await?;
            let (reason, paid) = match step {
                Step::Answer(response) => return Ok(response),
                Step::Failed(response) => {
                    if !self.may_repeat().await {
                        return Ok(response);
                    }
                    self.maybe = true;
                    (Reason::BrokenAnswer, false)
                }
                Step::Refused(reason) => return Err(self.refusal(reason)),
                Step::Elsewhere(reason) => (reason, false),
                Step::NotRun(reason) => (reason, true),
                Step::Lost(reason) => {
                    if !self.may_repeat().await {
                        return Err(Refusal::unknown(reason));
                    }
                    self.maybe = true;
                    (reason, false)
                }
            };
            last = reason;
            if !self.upload.is_ready() || (paid && !self.budget().await) {
                break;
            }
            self.context.metrics.retries.inc();
            emit!(
                Event::Retried,
                "request={} reason={reason} attempt={attempt}",
                self.intake.id
            );
        }
        Err(self.refusal(last))
    }

    async fn attempt(&mut self, attempt: usize) -> Result<Step, Refusal> {
        let mut work = self.intake.work();
        work.admitted |= attempt > 0 && self.is_home();
        let route = self.intake.route.clone();
        let decided = service::offer(&self.actor, work, route, self.intake.size).await;
        let Decided {
            decision,
            guard,
            copy,
            ..
        } = decided.map_err(|refusal| self.refusal(refusal.reason))?;
        if attempt == 0 {
            let added = self.began.elapsed().as_secs_f64();
            self.context.metrics.added.observe(added);
        }
        match decision.verdict {
            Verdict::Refuse(refusal) => Err(self.refusal(refusal.reason)),
            Verdict::Forward(name) => Ok(home::send(self, &name, guard).await),
            Verdict::Run(grant) => {
                if let (Some(copy), Some(guard)) = (&grant.mirror, copy) {
                    backend::send_copy(self, copy, guard);
                }
                Ok(backend::send(self, &grant, guard).await)
            }
        }
    }

    /// Whether this instance owns servers of the service.
    pub(super) fn is_home(&self) -> bool {
        let view = self.context.view();
        let placement = view.services.get(&self.intake.row.service);
        placement.is_some_and(|placement| {
            let mut homes = placement.homes.iter();
            homes.any(|slots| slots.home.name == *self.context.me())
        })
    }

    /// The refusal for a reason: the request was not run unless an attempt may have run it.
    fn refusal(&self, reason: Reason) -> Refusal {
        if self.maybe {
            Refusal::unknown(reason)
        } else {
            self.handed.store(false, Ordering::Relaxed);
            Refusal::not_run(reason)
        }
    }

    /// Whether work that may have been run can be run again.
    async fn may_repeat(&self) -> bool {
        let left = self.context.clock.until(self.intake.deadline);
        let open = self.intake.idempotent && self.upload.is_ready() && !self.upload.is_broken();
        open && !left.is_zero() && self.budget().await
    }

    async fn budget(&self) -> bool {
        let allowed = call_t!(self.actor, ServiceMessage::Retry, BUDGET_MS);
        allowed.unwrap_or(false)
    }
}
