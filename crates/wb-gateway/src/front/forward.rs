//! Sends, and further sends where they are allowed.
//!
//! A request that must not repeat is sent again only if no byte of it was handed over, or if the
//! server itself said that it did not run it. Idempotent work is sent again after any failure,
//! and once more while a send takes far longer than usual.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Response;
use wb_balance::Refusal;
use wb_balance::RequestInfo;
use wb_balance::ServerKey;
use wb_http::Body;

use super::attempt;
use super::attempt::Outcome;
use super::intake::Intake;
use super::payload::Payload;
use super::reply;
use super::reply::Record;
use super::slot;
use super::slot::Turn;
use crate::Context;

/// A send is far longer than usual after this many usual durations; one request in fifty is.
const HEDGE: u32 = 4;
/// Shortest time after which a send counts as far longer than usual.
const HEDGE_MIN: Duration = Duration::from_millis(150);
/// Sends without a byte handed over, at most: each takes up to half a second.
const UNSENT_MAX: u32 = 4;

/// A send that is under way.
type Sending = Pin<Box<dyn Future<Output = Outcome> + Send>>;

/// What is known of a request that has been sent at least once.
struct Course<'a> {
    context: &'a Arc<Context>,
    intake: &'a Arc<Intake>,
    payload: Payload,
    tried: Vec<ServerKey>,
    sends: u32,
    unsent: u32,
    /// Whether a server may have run it without an answer reaching this instance.
    maybe: bool,
    /// Reason of the last send without an answer.
    last: &'static str,
    /// A server's own failure, to be given if nothing better comes.
    failure: Option<Response<Body>>,
    running: FuturesUnordered<Sending>,
}

/// Runs a request to its end.
pub async fn run(
    context: &Arc<Context>,
    intake: &Arc<Intake>,
    payload: Payload,
    record: &mut Record,
) -> Response<Body> {
    let mut course = Course {
        context,
        intake,
        payload,
        tried: Vec::new(),
        sends: 0,
        unsent: 0,
        maybe: false,
        last: "",
        failure: None,
        running: FuturesUnordered::new(),
    };
    if let Err(refusal) = course.send(Turn::First).await {
        return course.refused(&refusal, record);
    }
    let mut hedged = false;
    loop {
        let hedge = intake.usual(context, HEDGE, HEDGE_MIN);
        let outcome = tokio::select! {
            outcome = course.running.next() => outcome,
            () = tokio::time::sleep(hedge), if !hedged && course.may_hedge() => {
                hedged = true;
                // Without room for a second send the first one goes on alone.
                let _ = course.send(Turn::Beside).await;
                continue;
            }
        };
        let Some(outcome) = outcome else {
            return course.fail(record);
        };
        let turn = match course.take(outcome) {
            Step::Done(response) => return course.answered(response, record),
            Step::Again(turn) => turn,
            Step::Wait => continue,
        };
        if let Err(refusal) = course.send(turn).await
            && course.running.is_empty()
        {
            return course.refused(&refusal, record);
        }
    }
}

/// What follows on the end of a send.
enum Step {
    Done(Response<Body>),
    Again(Turn),
    Wait,
}

impl Course<'_> {
    fn ask(&self) -> RequestInfo {
        let route = &self.intake.route;
        RequestInfo {
            route: route.name.clone(),
            idempotent: route.repeat.is_idempotent(),
            sends_left: route.max_attempts.saturating_sub(self.sends),
            priority: route.priority,
            arrived: self.intake.arrived,
            target_latency: route.target_latency,
            deadline: self.intake.deadline,
            tried: self.tried.clone(),
        }
    }

    async fn send(&mut self, turn: Turn) -> Result<(), Refusal> {
        let ask = self.ask();
        let slot = slot::take(self.context, self.intake, ask, turn).await?;
        let Some(body) = self.payload.hand_over() else {
            unreachable!("a request is sent again only with its body");
        };
        self.tried.push(slot.grant.key);
        self.sends += 1;
        let sending = attempt::run(self.context.clone(), self.intake.clone(), slot, body);
        if self.intake.route.repeat.is_idempotent() {
            self.running.push(Box::pin(sending));
        } else {
            // Work that must not repeat goes on if its caller leaves: it has begun.
            let task = tokio::spawn(sending);
            self.running.push(Box::pin(async move {
                task.await.unwrap_or(Outcome::Lost { reason: "internal" })
            }));
        }
        Ok(())
    }

    fn may_hedge(&self) -> bool {
        let route = &self.intake.route;
        let room = self.sends < route.max_attempts;
        route.repeat.is_idempotent() && room && self.payload.is_ready()
    }

    fn take(&mut self, outcome: Outcome) -> Step {
        let idempotent = self.intake.route.repeat.is_idempotent();
        let (reason, turn) = match outcome {
            Outcome::Answer(response) => return Step::Done(response),
            Outcome::Failed(response) if !idempotent => return Step::Done(response),
            Outcome::Failed(response) => {
                self.failure = Some(response);
                ("server_failed", Turn::Again)
            }
            Outcome::Unrun {
                reason,
                sent: false,
                body,
            } => {
                if let Some(body) = body {
                    self.payload.give_back(body);
                }
                self.sends -= 1;
                self.unsent += 1;
                (reason, Turn::Unsent)
            }
            Outcome::Unrun { reason, .. } => (reason, Turn::Again),
            Outcome::Lost { reason } => {
                self.maybe = true;
                (reason, Turn::Again)
            }
        };
        self.last = reason;
        if self.may_go_on() {
            Step::Again(turn)
        } else {
            Step::Wait
        }
    }

    /// Whether the request may be sent again.
    fn may_go_on(&self) -> bool {
        let intake = self.intake;
        let safe = intake.route.repeat.is_idempotent() || !self.maybe;
        let room = self.sends < intake.route.max_attempts && self.unsent < UNSENT_MAX;
        let time = self.context.now() < intake.deadline;
        safe && room && time && self.payload.is_ready() && self.running.is_empty()
    }

    fn answered(&self, response: Response<Body>, record: &mut Record) -> Response<Body> {
        record.answered(response.status(), self.sends);
        response
    }

    /// Ends a request that gets no further send.
    fn refused(&mut self, refusal: &Refusal, record: &mut Record) -> Response<Body> {
        if self.maybe || self.failure.is_some() {
            return self.fail(record);
        }
        record.refused(refusal, self.last, self.sends);
        reply::refuse(self.context, self.intake, refusal)
    }

    /// Ends a request whose sends gave no answer.
    fn fail(&mut self, record: &mut Record) -> Response<Body> {
        if let Some(response) = self.failure.take() {
            record.answered(response.status(), self.sends);
            return response;
        }
        if !self.maybe {
            let refusal = Refusal {
                cause: wb_balance::balancer::RefusalCause::NoServer,
                retry_after: Duration::ZERO,
            };
            record.refused(&refusal, self.last, self.sends);
            return reply::refuse(self.context, self.intake, &refusal);
        }
        record.failed(self.last, self.sends);
        reply::fail(self.context, self.intake, self.last)
    }
}
