//! Slots at backend servers, taken and given back.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
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

use super::intake::Intake;
use crate::Context;
use crate::metrics::ServiceLabels;
use crate::peers::Packet;

/// A slot at a server, given back when it is dropped.
pub struct Slot {
    /// What was granted.
    pub grant: Box<Assignment>,
    context: Arc<Context>,
    intake: Arc<Intake>,
    ended: bool,
}

/// How a request asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Turn {
    /// It came from a caller.
    First,
    /// A server has shed it, or it runs again.
    Again,
    /// It goes to a second server while the first takes long.
    Beside,
    /// No byte of it was handed over.
    Unsent,
}

/// A waiting request, taken out when it is dropped.
struct Waiting<'a> {
    context: &'a Context,
    intake: &'a Intake,
    key: WaitKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.context.state();
        if let Some(service) = state.services.get_mut(&self.intake.service) {
            service.cancel(self.key);
        }
    }
}

/// Takes a slot, or waits for one.
///
/// # Errors
///
/// The refusal, if the request can't be served in time.
pub async fn take(
    context: &Arc<Context>,
    intake: &Arc<Intake>,
    ask: RequestInfo,
    turn: Turn,
) -> Result<Slot, Refusal> {
    let now = context.now();
    let (offer, wait) = {
        let mut state = context.state();
        let service = state.service(&intake.service, context);
        let offer = match turn {
            Turn::First => service.balancer.admit(ask, now),
            Turn::Again => service.balancer.retry(ask, now),
            Turn::Beside => service.balancer.hedge(ask, now),
            Turn::Unsent => service.balancer.reassign(ask, now),
        };
        let wait = match &offer {
            Decision::Wait(key) => Some(service.wait(*key)),
            _ => None,
        };
        (offer, wait)
    };
    let grant = match (offer, wait) {
        (Decision::Send(grant), _) => grant,
        (Decision::Refuse(refusal), _) => return Err(refusal),
        (Decision::Wait(key), wait) => {
            let waiting = Waiting {
                context,
                intake,
                key,
            };
            context.waiting.notify_one();
            line!(Event::Queued, request = intake.id, service = intake.service);
            let wait = wait.expect("a waiting request has a receiver");
            let verdict = wait.await;
            drop(waiting);
            let waited = context.now().saturating_sub(now);
            context.metrics.queued.observe(waited.as_secs_f64());
            // The sender goes only if the request was taken out, which its own task alone does.
            verdict.unwrap_or(Err(Refusal {
                cause: RefusalCause::Deadline,
                retry_after: Duration::ZERO,
            }))?
        }
    };
    log_routed(intake, &grant, turn, context.now().saturating_sub(now));
    Ok(Slot {
        grant,
        context: context.clone(),
        intake: intake.clone(),
        ended: false,
    })
}

fn log_routed(intake: &Intake, grant: &Assignment, turn: Turn, waited: Duration) {
    line!(
        Event::Routed,
        request = intake.id,
        service = intake.service,
        server = grant.server.name,
        turn = turn,
        trial = grant.trial,
        running = grant.running,
        score = grant.score,
        age_ms = grant.since_success.map(|age| age.as_millis() as u64),
        waited_ms = waited.as_millis() as u64,
        routes = intake.version
    );
}

impl Slot {
    /// Gives the slot back, with what the send told of the server.
    pub fn end(mut self, ending: AttemptOutcome) {
        self.give_back(ending);
    }

    /// Terms of a connection for the request.
    pub fn terms(&self) -> SendOptions {
        let repeatable = self.intake.route.repeat.is_idempotent();
        let mut state = self.context.state();
        let service = state.service(&self.intake.service, &self.context);
        SendOptions {
            max_connections: self.grant.server.max_connections,
            max_idle: service.rests.limit(repeatable),
        }
    }

    /// Takes a connection that answered after a rest.
    pub fn rested(&self, rest: Duration) {
        let mut state = self.context.state();
        let service = state.service(&self.intake.service, &self.context);
        service.rests.record_reuse(rest);
    }

    /// Takes a connection that was reset after a rest. Others to its server may be stale as well.
    pub fn stale(&self, rest: Duration) {
        let now = self.context.now();
        self.context.pool.close_idle(self.grant.server.address);
        let mut state = self.context.state();
        let service = state.service(&self.intake.service, &self.context);
        service
            .rests
            .record_reset(&self.grant.server.name, rest, now);
    }

    /// Takes the end of a send on a new connection, which tells why an earlier one was reset.
    pub fn fresh(&self, answered: bool) {
        let now = self.context.now();
        let mut state = self.context.state();
        let service = state.service(&self.intake.service, &self.context);
        let Some(cause) = service
            .rests
            .explain_reset(&self.grant.server.name, answered)
        else {
            return;
        };
        service.rests.apply_cause(cause, now);
        let to = state.steering.peer_addresses();
        drop(state);
        let service = self.intake.service.clone();
        line!(
            Event::ResetExplained,
            service = service,
            server = self.grant.server.name,
            cause = cause
        );
        self.context.tell(Packet::Stale { service, cause }, to);
    }

    /// Takes evidence while the request is still running.
    pub fn note(&self, evidence: Evidence) {
        let now = self.context.now();
        let mut state = self.context.state();
        let Some(service) = state.services.get_mut(&self.intake.service) else {
            return;
        };
        let change = service
            .balancer
            .record_evidence(self.grant.key, evidence, now);
        let to = state.steering.peer_addresses();
        drop(state);
        if let Some(change) = change {
            self.tell(&change, to);
        }
    }

    fn give_back(&mut self, ending: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.context.now();
        let mut state = self.context.state();
        let Some(service) = state.services.get_mut(&self.intake.service) else {
            return;
        };
        let route = &self.intake.route.name;
        let change = service.balancer.finish(self.grant.key, route, ending, now);
        if matches!(ending, AttemptOutcome::Success(_)) {
            service.note_good(self.grant.server.name.clone());
        }
        service.pump(now);
        let to = if change.is_some() {
            state.steering.peer_addresses()
        } else {
            Vec::new()
        };
        drop(state);
        let labels = ServiceLabels {
            service: self.intake.service.to_string(),
            kind: kind(ending),
        };
        self.context.metrics.sends.get_or_create(&labels).inc();
        if let Some(change) = change {
            self.tell(&change, to);
        }
    }

    fn tell(&self, change: &EvidenceReport, to: Vec<std::net::SocketAddr>) {
        if change.changed {
            line!(
                Event::Health,
                service = self.intake.service,
                server = change.server,
                evidence = change.evidence,
                suspect = change.suspect,
                score = change.score,
                request = self.intake.id
            );
            let labels = ServiceLabels {
                service: self.intake.service.to_string(),
                kind: if change.suspect { "suspect" } else { "cleared" },
            };
            self.context.metrics.verdicts.get_or_create(&labels).inc();
        }
        let packet = Packet::Learnt {
            from: self.context.settings.card.name.clone(),
            service: self.intake.service.clone(),
            server: change.server.clone(),
            evidence: change.evidence,
        };
        self.context.tell(packet, to);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.give_back(AttemptOutcome::Inconclusive);
    }
}

fn kind(ending: AttemptOutcome) -> &'static str {
    match ending {
        AttemptOutcome::Success(_) => "good",
        AttemptOutcome::Failure(evidence) => evidence.into(),
        AttemptOutcome::Shed => "shed",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Timeout => "timeout",
        AttemptOutcome::Inconclusive => "void",
    }
}
