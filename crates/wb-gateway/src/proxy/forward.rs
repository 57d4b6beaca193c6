//! Attempts, retries and hedged attempts of a request.
//!
//! A request that must not be repeated is retried only if no byte of it was sent, or if the server
//! itself reported that it did not execute it. An idempotent request is retried after any failure,
//! and hedged with a second attempt if the first takes longer than usual ([`wb_balance::hedge`]).

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
use wb_balance::balancer::RefusalCause;
use wb_balance::bytes;
use wb_http::Body;
use wb_quarantine::Standing;
use wb_types::id::InstanceName;

use super::attempt;
use super::attempt::Outcome;
use super::hedging::HedgeState;
use super::payload::Payload;
use super::peer;
use super::response;
use super::response::RequestRecord;
use super::routed::Origin;
use super::routed::RoutedRequest;
use super::slot;
use super::slot::AttemptKind;
use crate::Context;

/// Most attempts of a request that end without a byte sent: each takes up to half a second.
const CONNECT_FAILURES_MAX: u32 = 4;

/// Attempts of a request whose server could not be connected, from which on the path of this instance may
/// be cut: fewer than that end now and then.
const PATH_FAILURES: u32 = 2;
/// Servers that ended while they had a request, from which it is sent to no second one in the same
/// attempt of its caller.
const SINGLE_SEND_CRASHES: usize = 2;

/// An attempt in progress, and its kind.
type AttemptFuture = Pin<Box<dyn Future<Output = (AttemptKind, Outcome)> + Send>>;

/// A request that is being forwarded, and its attempts so far.
struct Forwarder<'a> {
    context: &'a Arc<Context>,
    routed: &'a Arc<RoutedRequest>,
    payload: Payload,
    tried: Vec<ServerKey>,
    /// Instances that it was passed on to.
    passed_to: Vec<InstanceName>,
    attempts: u32,
    connect_failures: u32,
    /// Attempts whose server could not be connected.
    path_failures: u32,
    /// Whether a server may have executed the request without a valid response.
    maybe_run: bool,
    /// Reason of the last attempt that failed.
    last_reason: &'static str,
    /// Response with a server error, which is passed on if no later attempt succeeds.
    server_error: Option<Response<Body>>,
    in_flight: FuturesUnordered<AttemptFuture>,
    hedge: HedgeState,
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
        passed_to: Vec::new(),
        attempts: 0,
        connect_failures: 0,
        path_failures: 0,
        maybe_run: false,
        last_reason: "",
        server_error: None,
        in_flight: FuturesUnordered::new(),
        hedge: HedgeState::default(),
    };
    if let Err(refusal) = forwarder.send(AttemptKind::First).await {
        return forwarder.refused(&refusal, record);
    }
    loop {
        let hedge = forwarder.until_hedge();
        let outcome = tokio::select! {
            outcome = forwarder.in_flight.next() => outcome,
            () = tokio::time::sleep(hedge.unwrap_or_default()), if hedge.is_some() => {
                forwarder.hedge().await;
                continue;
            }
        };
        let Some((kind, outcome)) = outcome else {
            return forwarder.fail(record);
        };
        let kind = match forwarder.handle_outcome(outcome) {
            Next::Respond(response) => return forwarder.answered(response, kind, record),
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
            attempts_left: self.routed.attempts_max().saturating_sub(self.attempts),
            priority: self.routed.priority(),
            team: self.routed.team_share(),
            arrived: self.routed.arrived,
            target_latency: route.target_latency,
            deadline: self.routed.deadline,
            tried: self.tried.clone(),
            body: bytes::counted(self.payload.size(self.routed)),
        }
    }

    /// Sends the request to a server, unless it is held.
    async fn send(&mut self, kind: AttemptKind) -> Result<(), Refusal> {
        if let Standing::Held { remaining, .. } = self.routed.standing(self.context) {
            return Err(Refusal::new(RefusalCause::Quarantined, remaining));
        }
        if self.pass_on(self.is_cut())? {
            return Ok(());
        }
        let request = self.request_info();
        let slot = match slot::acquire(self.context, self.routed, request, kind).await {
            Ok(slot) => slot,
            Err(refusal) => {
                let passed = kind != AttemptKind::Hedge && self.pass_on(self.lacks_servers())?;
                return if passed { Ok(()) } else { Err(refusal) };
            }
        };
        let Some(body) = self.payload.take_body() else {
            unreachable!("a retry needs an available body");
        };
        self.tried.push(slot.assignment.key);
        self.attempts += 1;
        if kind != AttemptKind::Hedge {
            let trial = slot.assignment.trial;
            self.hedge.schedule(self.context, self.routed, trial);
        }
        let attempt = attempt::run(self.context.clone(), self.routed.clone(), slot, body);
        self.in_flight
            .push(Box::pin(async move { (kind, attempt.await) }));
        Ok(())
    }

    /// Whether this instance, or this request, reaches no servers.
    fn is_cut(&self) -> bool {
        let state = self.context.state();
        let reach = &state.reach;
        let failed = self.path_failures >= PATH_FAILURES;
        reach.is_cut() || (failed && reach.peers_may_serve(self.context.now()))
    }

    /// Whether no server has a free slot, perhaps because this instance reaches too few.
    fn lacks_servers(&self) -> bool {
        let state = self.context.state();
        let reach = &state.reach;
        reach.failed_count() >= PATH_FAILURES as usize && reach.peers_may_serve(self.context.now())
    }

    /// Passes the request on to another instance if this one has no way to a server. Returns whether
    /// it was passed on.
    ///
    /// # Errors
    ///
    /// A refusal if it has been passed on before, so that another instance is tried.
    fn pass_on(&mut self, needed: bool) -> Result<bool, Refusal> {
        if !needed {
            return Ok(false);
        }
        if self.routed.origin != Origin::Caller {
            return Err(Refusal::new(RefusalCause::Unreachable, Duration::ZERO));
        }
        let Some(peer) = peer::choose(self.context, &self.passed_to) else {
            return Ok(false);
        };
        let Some(body) = self.payload.take_body() else {
            return Ok(false);
        };
        self.passed_to.push(peer.name.clone());
        let attempts = self.routed.attempts_max().saturating_sub(self.attempts);
        self.attempts += 1;
        self.hedge.cancel();
        let context = self.context.clone();
        let passing = peer::pass_on(context, self.routed.clone(), peer, attempts, body);
        let kind = AttemptKind::Reassign;
        self.in_flight
            .push(Box::pin(async move { (kind, passing.await) }));
        Ok(true)
    }

    /// Time until a hedged attempt starts; `None` if the request may not be hedged.
    fn until_hedge(&self) -> Option<Duration> {
        let route = &self.routed.route;
        let room = self.attempts < self.routed.attempts_max();
        let unsuspected = self.routed.standing(self.context) == Standing::Clear;
        let allowed =
            route.repeat.is_idempotent() && room && self.payload.is_available() && unsuspected;
        let at = self.hedge.at().filter(|_| allowed)?;
        Some(at.saturating_sub(self.context.now()))
    }

    /// Starts a hedged attempt. If it is refused, the first goes on alone, and the hedged one is
    /// tried again later.
    async fn hedge(&mut self) {
        let (context, routed) = (self.context, self.routed);
        self.hedge.start(context, routed);
        match self.send(AttemptKind::Hedge).await {
            Ok(()) => self.hedge.sent(context, routed),
            Err(refusal) => self.hedge.refused(context, routed, &refusal),
        }
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
                self.path_failures += u32::from(reason == attempt::UNREACHABLE);
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
        let room =
            self.attempts < routed.attempts_max() && self.connect_failures < CONNECT_FAILURES_MAX;
        let time = self.context.now() < routed.deadline;
        let harmless =
            !self.maybe_run || routed.standing(self.context).crashes() < SINGLE_SEND_CRASHES;
        safe && harmless && room && time && self.payload.is_available() && self.in_flight.is_empty()
    }

    fn answered(
        &self,
        response: Response<Body>,
        kind: AttemptKind,
        record: &mut RequestRecord,
    ) -> Response<Body> {
        self.hedge.answered(self.context, self.routed, kind);
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
            let refusal = Refusal::new(RefusalCause::NoServer, Duration::ZERO);
            record.refused(&refusal, self.last_reason, self.attempts);
            return response::refuse(self.context, self.routed, &refusal);
        }
        record.failed(self.last_reason, self.attempts);
        response::fail(self.context, self.routed, self.last_reason)
    }
}
