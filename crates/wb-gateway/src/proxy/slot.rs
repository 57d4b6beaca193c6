//! Slots at backend servers: the right to have one request in progress there.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use strum::IntoStaticStr;
use tokio::sync::oneshot;
use wb_balance::Assignment;
use wb_balance::AttemptOutcome;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::Refusal;
use wb_balance::RequestInfo;
use wb_balance::WaitKey;
use wb_balance::balancer::EvidenceReport;
use wb_balance::balancer::RefusalCause;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::SendOptions;
use wb_members::listing::Lifetime;
use wb_members::listing::Listing;
use wb_types::id::Moment;

use super::path;
use super::routed::RoutedRequest;
use crate::Context;
use crate::metrics::ServiceLabels;
use crate::peers::Packet;
use crate::peers::bytes;

/// A slot at a server, released when it is dropped.
pub struct Slot {
    /// Server and slot that the balancer assigned.
    pub assignment: Box<Assignment>,
    /// Start of the server's process; `None` if it has left the list meanwhile.
    pub lifetime: Option<Lifetime>,
    pub(super) context: Arc<Context>,
    pub(super) routed: Arc<RoutedRequest>,
    released: bool,
    overdue: bool,
}

/// Kind of the attempt for which a request needs a slot.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AttemptKind {
    /// First attempt.
    First,
    /// Retry after an attempt that was shed or failed.
    #[serde(rename = "again")]
    #[strum(serialize = "again")]
    Retry,
    /// Hedged attempt at a second server while the first takes long.
    #[serde(rename = "beside")]
    #[strum(serialize = "beside")]
    Hedge,
    /// Attempt at another server after one that sent no byte.
    #[serde(rename = "unsent")]
    #[strum(serialize = "unsent")]
    Reassign,
}

/// A queued request, withdrawn from the queue when this is dropped.
struct QueueGuard<'a> {
    context: &'a Arc<Context>,
    routed: &'a Arc<RoutedRequest>,
    key: WaitKey,
}

impl QueueGuard<'_> {
    /// Takes the decision on the request.
    fn take(self) -> Result<Slot, Refusal> {
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, self.context);
        match service.take_decision(self.key) {
            Some(Ok(assignment)) => Ok(Slot::new(
                self.context,
                self.routed,
                assignment,
                &state.listing,
            )),
            Some(Err(refusal)) => Err(refusal),
            None => Err(Refusal::new(RefusalCause::Deadline, Duration::ZERO)),
        }
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut state = self.context.state();
        if let Some(service) = state.services.get_mut(&self.routed.service) {
            service.withdraw(self.key, now);
        }
    }
}

/// Acquires a slot, waiting in the queue if none is free.
///
/// # Errors
///
/// The refusal, if the request can't be served in time.
pub async fn acquire(
    context: &Arc<Context>,
    routed: &Arc<RoutedRequest>,
    request: RequestInfo,
    kind: AttemptKind,
) -> Result<Slot, Refusal> {
    let now = context.now();
    let slot = match decide(context, routed, request, kind, now) {
        Step::Slot(slot) => slot,
        Step::Refused(refusal) => {
            count_refused_share(context, routed, &refusal, kind);
            return Err(refusal);
        }
        Step::Queued {
            guard,
            woken,
            ahead,
        } => {
            context.queue_wakeup.notify_one();
            line!(
                Event::Queued,
                request = routed.id,
                service = routed.service,
                team = routed.team(),
                ahead = ahead
            );
            // The sender is dropped only with the queued request, which the guard removes.
            let _ = woken.await;
            let decision = guard.take();
            let waited = context.now().saturating_sub(now);
            context.metrics.queue_wait.observe(waited.as_secs_f64());
            decision?
        }
    };
    let assignment = &slot.assignment;
    log_routed(context, routed, assignment, kind, now);
    bytes::tell_urgent(context, &routed.service, assignment.body);
    if assignment.limit.is_some() {
        let labels = ServiceLabels {
            service: routed.service.to_string(),
            kind: kind.into(),
        };
        let attempts = &context.metrics.limited_attempts;
        attempts.get_or_create(&labels).inc();
    }
    Ok(slot)
}

/// What the balancer has decided on a request, with the owner of its slot or place.
enum Step<'a> {
    Slot(Slot),
    Refused(Refusal),
    Queued {
        guard: QueueGuard<'a>,
        woken: oneshot::Receiver<()>,
        /// Queued requests that go before it.
        ahead: Option<usize>,
    },
}

fn decide<'a>(
    context: &'a Arc<Context>,
    routed: &'a Arc<RoutedRequest>,
    request: RequestInfo,
    kind: AttemptKind,
    now: Moment,
) -> Step<'a> {
    let mut state = context.state();
    let service = state.service(&routed.service, context);
    let decision = match kind {
        AttemptKind::First => service.balancer.admit(request, now),
        AttemptKind::Retry => service.balancer.retry(request, now),
        AttemptKind::Hedge => service.balancer.hedge(request, now),
        AttemptKind::Reassign => service.balancer.reassign(request, now),
    };
    match decision {
        Decision::Send(assignment) => {
            Step::Slot(Slot::new(context, routed, assignment, &state.listing))
        }
        Decision::Refuse(refusal) => Step::Refused(refusal),
        Decision::Wait(key) => Step::Queued {
            ahead: service.balancer.queued_behind(key),
            woken: service.enqueue(key),
            guard: QueueGuard {
                context,
                routed,
                key,
            },
        },
    }
}

/// Counts a repeat that a team is refused because it has used what it is due.
fn count_refused_share(
    context: &Context,
    routed: &RoutedRequest,
    refusal: &Refusal,
    kind: AttemptKind,
) {
    if !refusal.over_share {
        return;
    }
    let labels = ServiceLabels {
        service: routed.service.to_string(),
        kind: kind.into(),
    };
    let refusals = &context.metrics.share_refusals;
    refusals.get_or_create(&labels).inc();
}

/// Logs a slot for which the request has waited since `since`.
fn log_routed(
    context: &Context,
    routed: &RoutedRequest,
    assignment: &Assignment,
    kind: AttemptKind,
    since: Moment,
) {
    let now = context.now();
    let listing_age = context.state().listing_age(now);
    line!(
        Event::Routed,
        request = routed.id,
        service = routed.service,
        server = assignment.server.name,
        turn = kind,
        trial = assignment.trial,
        running = assignment.running,
        score = assignment.score,
        age_ms = assignment.since_success.map(|age| age.as_millis() as u64),
        waited_ms = now.saturating_sub(since).as_millis() as u64,
        limit = assignment.limit,
        list_ms = listing_age.as_millis() as u64,
        routes = routed.routes_version
    );
}

impl Slot {
    /// Takes over what the balancer has assigned. The caller holds the lock on the state.
    fn new(
        context: &Arc<Context>,
        routed: &Arc<RoutedRequest>,
        assignment: Box<Assignment>,
        listing: &Listing,
    ) -> Self {
        context.metrics.slots_held.inc();
        Self {
            lifetime: listing.lifetime(&assignment.server.name),
            assignment,
            context: context.clone(),
            routed: routed.clone(),
            released: false,
            overdue: false,
        }
    }

    /// Releases the slot, and reports how the attempt ended.
    pub fn release(mut self, outcome: AttemptOutcome) {
        self.release_once(outcome);
    }

    /// Whether the request may still be sent to the server.
    pub fn may_send(&self) -> bool {
        let state = self.context.state();
        let service = state.services.get(&self.routed.service);
        let now = self.context.now();
        service.is_some_and(|service| service.balancer.may_send(self.assignment.key, now))
    }

    /// Returns the limits on the connection for the request: how many the server may have, and how
    /// long a reused one may have been idle.
    pub fn send_options(&self) -> SendOptions {
        let idempotent = self.routed.route.repeat.is_idempotent();
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        SendOptions {
            max_connections: self.assignment.server.max_connections,
            max_idle: service.idle_limits.limit(idempotent),
            tag: Some(self.routed.tag),
        }
    }

    /// Records that a connection was reused successfully after it had been idle for `idle_time`.
    pub fn record_reuse(&self, idle_time: Duration) {
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        service.idle_limits.record_reuse(idle_time);
    }

    /// Records that a connection was reset after it had been idle for `idle_time`. Other idle
    /// connections to the server may be stale as well, so they are closed.
    pub fn record_reset(&self, idle_time: Duration) {
        let now = self.context.now();
        self.context.pool.close_idle(self.assignment.server.address);
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        service
            .idle_limits
            .record_reset(&self.assignment.server.name, idle_time, now);
    }

    /// Records how an attempt on a new connection ended, which shows whether an earlier reset was
    /// due to the idle time or to the server. The cause is sent to the other instances.
    pub fn explain_reset(&self, answered: bool) {
        let now = self.context.now();
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        let Some(cause) = service
            .idle_limits
            .explain_reset(&self.assignment.server.name, answered)
        else {
            return;
        };
        service.idle_limits.apply_cause(cause, now);
        let to = state.steering.peer_addresses();
        drop(state);
        let service = self.routed.service.clone();
        line!(
            Event::ResetExplained,
            service = service,
            server = self.assignment.server.name,
            cause = cause
        );
        self.context
            .send_packet(Packet::StaleConnection { service, cause }, to);
    }

    /// Outcome of an attempt that was answered completely after `took`.
    pub fn success(&self, took: Duration) -> AttemptOutcome {
        if self.overdue {
            AttemptOutcome::Late(took)
        } else {
            AttemptOutcome::Success(took)
        }
    }

    /// Records as evidence that the request, still in progress, takes too long.
    pub fn record_overdue(&mut self) {
        self.overdue = true;
        path::record_failure(&self.context, &self.assignment.server.name);
        let now = self.context.now();
        let mut state = self.context.state();
        let Some(service) = state.services.get_mut(&self.routed.service) else {
            return;
        };
        let report = service
            .balancer
            .record_evidence(self.assignment.key, Evidence::Overdue, now);
        let to = state.steering.peer_addresses();
        drop(state);
        if let Some(report) = report {
            self.broadcast(&report, to);
        }
    }

    fn release_once(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.context.now();
        let mut state = self.context.state();
        self.context.metrics.slots_held.dec();
        let Some(service) = state.services.get_mut(&self.routed.service) else {
            return;
        };
        let route = &self.routed.route.name;
        let report = service.finish(&self.assignment, route, outcome, now);
        service.release_queued(now);
        if has_responded(outcome) {
            path::record_success(&self.context, &mut state);
        }
        let to = if report.is_some() {
            state.steering.peer_addresses()
        } else {
            Vec::new()
        };
        drop(state);
        let labels = ServiceLabels {
            service: self.routed.service.to_string(),
            kind: outcome_label(outcome),
        };
        self.context.metrics.attempts.get_or_create(&labels).inc();
        if let Some(report) = report {
            self.broadcast(&report, to);
        }
    }

    fn broadcast(&self, report: &EvidenceReport, to: Vec<std::net::SocketAddr>) {
        if report.changed {
            line!(
                Event::Health,
                service = self.routed.service,
                server = report.server,
                evidence = report.evidence,
                suspect = report.suspect,
                score = report.score,
                request = self.routed.id
            );
            let labels = ServiceLabels {
                service: self.routed.service.to_string(),
                kind: if report.suspect { "suspect" } else { "cleared" },
            };
            self.context.metrics.verdicts.get_or_create(&labels).inc();
        }
        if self.context.state().reach.is_cut() {
            return;
        }
        let packet = Packet::Evidence {
            from: self.context.settings.card.name.clone(),
            service: self.routed.service.clone(),
            server: report.server.clone(),
            evidence: report.evidence,
        };
        self.context.send_packet(packet, to);
    }
}

/// Whether a server, be it another one at the same address, has responded to the attempt.
fn has_responded(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Success(_) | AttemptOutcome::Late(_) => true,
        AttemptOutcome::Shed | AttemptOutcome::Misdirected => true,
        AttemptOutcome::Failure(evidence) => evidence == Evidence::Failed,
        AttemptOutcome::Timeout | AttemptOutcome::Inconclusive => false,
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release_once(AttemptOutcome::Inconclusive);
    }
}

fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success(_) | AttemptOutcome::Late(_) => "good",
        AttemptOutcome::Failure(evidence) => evidence.into(),
        AttemptOutcome::Shed => "shed",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Timeout => "timeout",
        AttemptOutcome::Inconclusive => "void",
    }
}
