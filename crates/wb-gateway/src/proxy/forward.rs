//! Attempts, retries and hedged attempts of a request.
//!
//! A request that must not be repeated is retried only if no byte of it was sent, or if the server
//! itself reported that it did not execute it. An idempotent request is retried after any failure,
//! and hedged once with a second attempt if the first takes far longer than usual.

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
use super::payload::Payload;
use super::response;
use super::response::RequestRecord;
use super::routed::RoutedRequest;
use super::slot;
use super::slot::AttemptKind;
use crate::Context;

/// An attempt is hedged after this multiple of the typical latency, which one request in fifty
/// exceeds.
const HEDGE_FACTOR: u32 = 4;
/// Shortest time after which an attempt is hedged.
const HEDGE_MIN: Duration = Duration::from_millis(150);
/// Most attempts of a request that end without a byte sent: each takes up to half a second.
const CONNECT_FAILURES_MAX: u32 = 4;

/// An attempt in progress.
type AttemptFuture = Pin<Box<dyn Future<Output = Outcome> + Send>>;

/// A request that is being forwarded, and its attempts so far.
struct Forwarder<'a> {
    context: &'a Arc<Context>,
    routed: &'a Arc<RoutedRequest>,
    payload: Payload,
    tried: Vec<ServerKey>,
    attempts: u32,
    connect_failures: u32,
    /// Whether a server may have executed the request without a valid response.
    maybe_run: bool,
    /// Reason of the last attempt that failed.
    last_reason: &'static str,
    /// Response with a server error, which is passed on if no later attempt succeeds.
    server_error: Option<Response<Body>>,
    in_flight: FuturesUnordered<AttemptFuture>,
}

/// Forwards a request until it is answered, refused or failed.
pub async fn run(
    context: &Arc<Context>,
    routed: &Arc<RoutedRequest>,
    payload: Payload,
    record: &mut RequestRecord,
) -> Response<Body> {
    let mut forwarder = Forwarder {
        context,
        routed,
        payload,
        tried: Vec::new(),
        attempts: 0,
        connect_failures: 0,
        maybe_run: false,
        last_reason: "",
        server_error: None,
        in_flight: FuturesUnordered::new(),
    };
    if let Err(refusal) = forwarder.send(AttemptKind::First).await {
        return forwarder.refused(&refusal, record);
    }
    let mut hedged = false;
    loop {
        let hedge = routed.latency_threshold(context, HEDGE_FACTOR, HEDGE_MIN);
        let outcome = tokio::select! {
            outcome = forwarder.in_flight.next() => outcome,
            () = tokio::time::sleep(hedge), if !hedged && forwarder.can_hedge() => {
                hedged = true;
                // If a hedged attempt is refused, the first goes on alone.
                let _ = forwarder.send(AttemptKind::Hedge).await;
                continue;
            }
        };
        let Some(outcome) = outcome else {
            return forwarder.fail(record);
        };
        let kind = match forwarder.handle_outcome(outcome) {
            Next::Respond(response) => return forwarder.answered(response, record),
            Next::Retry(kind) => kind,
            Next::Wait => continue,
        };
        if let Err(refusal) = forwarder.send(kind).await
            && forwarder.in_flight.is_empty()
        {
            return forwarder.refused(&refusal, record);
        }
    }
}

/// What to do when an attempt has ended.
enum Next {
    Respond(Response<Body>),
    Retry(AttemptKind),
    Wait,
}

impl Forwarder<'_> {
    fn request_info(&self) -> RequestInfo {
        let route = &self.routed.route;
        RequestInfo {
            route: route.name.clone(),
            idempotent: route.repeat.is_idempotent(),
            attempts_left: route.max_attempts.saturating_sub(self.attempts),
            priority: route.priority,
            arrived: self.routed.arrived,
            target_latency: route.target_latency,
            deadline: self.routed.deadline,
            tried: self.tried.clone(),
        }
    }

    async fn send(&mut self, kind: AttemptKind) -> Result<(), Refusal> {
        let request = self.request_info();
        let slot = slot::acquire(self.context, self.routed, request, kind).await?;
        let Some(body) = self.payload.take_body() else {
            unreachable!("a retry needs an available body");
        };
        self.tried.push(slot.assignment.key);
        self.attempts += 1;
        let attempt = attempt::run(self.context.clone(), self.routed.clone(), slot, body);
        self.in_flight.push(Box::pin(attempt));
        Ok(())
    }

    fn can_hedge(&self) -> bool {
        let route = &self.routed.route;
        let room = self.attempts < route.max_attempts;
        route.repeat.is_idempotent() && room && self.payload.is_available()
    }

    fn handle_outcome(&mut self, outcome: Outcome) -> Next {
        let idempotent = self.routed.route.repeat.is_idempotent();
        let (reason, kind) = match outcome {
            Outcome::Response(response) => return Next::Respond(response),
            Outcome::ServerError(response) if !idempotent => return Next::Respond(response),
            Outcome::ServerError(response) => {
                self.server_error = Some(response);
                ("server_failed", AttemptKind::Retry)
            }
            Outcome::NotExecuted {
                reason,
                reached: false,
                body,
            } => {
                if let Some(body) = body {
                    self.payload.restore_body(body);
                }
                self.attempts -= 1;
                self.connect_failures += 1;
                (reason, AttemptKind::Reassign)
            }
            Outcome::NotExecuted { reason, .. } => (reason, AttemptKind::Retry),
            Outcome::Indeterminate { reason } => {
                self.maybe_run = true;
                (reason, AttemptKind::Retry)
            }
        };
        self.last_reason = reason;
        if self.can_retry() {
            Next::Retry(kind)
        } else {
            Next::Wait
        }
    }

    /// Whether the request may be retried.
    fn can_retry(&self) -> bool {
        let routed = self.routed;
        let safe = routed.route.repeat.is_idempotent() || !self.maybe_run;
        let room = self.attempts < routed.route.max_attempts
            && self.connect_failures < CONNECT_FAILURES_MAX;
        let time = self.context.now() < routed.deadline;
        safe && room && time && self.payload.is_available() && self.in_flight.is_empty()
    }

    fn answered(&self, response: Response<Body>, record: &mut RequestRecord) -> Response<Body> {
        record.answered(response.status(), self.attempts);
        response
    }

    /// Answers a request whose next attempt was refused.
    fn refused(&mut self, refusal: &Refusal, record: &mut RequestRecord) -> Response<Body> {
        if self.maybe_run || self.server_error.is_some() {
            return self.fail(record);
        }
        record.refused(refusal, self.last_reason, self.attempts);
        response::refuse(self.context, self.routed, refusal)
    }

    /// Answers a request whose attempts all failed.
    fn fail(&mut self, record: &mut RequestRecord) -> Response<Body> {
        if let Some(response) = self.server_error.take() {
            record.answered(response.status(), self.attempts);
            return response;
        }
        if !self.maybe_run {
            let refusal = Refusal {
                cause: wb_balance::balancer::RefusalCause::NoServer,
                retry_after: Duration::ZERO,
            };
            record.refused(&refusal, self.last_reason, self.attempts);
            return response::refuse(self.context, self.routed, &refusal);
        }
        record.failed(self.last_reason, self.attempts);
        response::fail(self.context, self.routed, self.last_reason)
    }
}
