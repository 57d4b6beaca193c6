//! Slots at backend servers: the right to have one request in progress there.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use wb_balance::Ask;
use wb_balance::Ending;
use wb_balance::Evidence;
use wb_balance::Grant;
use wb_balance::Offer;
use wb_balance::Refusal;
use wb_balance::WaitKey;
use wb_balance::balancer::Cause;
use wb_balance::balancer::Change;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::Terms;

use super::routed::RoutedRequest;
use crate::Context;
use crate::metrics::ServiceLabels;
use crate::peers::Packet;

/// A slot at a server, released when it is dropped.
pub struct Slot {
    /// The grant of the balancer.
    pub grant: Box<Grant>,
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    released: bool,
}

/// Why a request needs a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptKind {
    /// First attempt.
    First,
    /// Retry after an attempt that was shed or failed.
    #[serde(rename = "again")]
    Retry,
    /// Hedged attempt at a second server while the first takes long.
    #[serde(rename = "beside")]
    Hedge,
    /// Attempt at another server after one that sent no byte.
    #[serde(rename = "unsent")]
    Reassign,
}

/// A queued request, removed from the queue when this is dropped.
struct QueueGuard<'a> {
    context: &'a Context,
    routed: &'a RoutedRequest,
    key: WaitKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.context.state();
        if let Some(service) = state.services.get_mut(&self.routed.service) {
            service.cancel(self.key);
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
    ask: Ask,
    kind: AttemptKind,
) -> Result<Slot, Refusal> {
    let now = context.now();
    let (offer, wait) = {
        let mut state = context.state();
        let service = state.service(&routed.service, context);
        let offer = match kind {
            AttemptKind::First => service.balancer.offer(ask, now),
            AttemptKind::Retry => service.balancer.again(ask, now),
            AttemptKind::Hedge => service.balancer.beside(ask, now),
            AttemptKind::Reassign => service.balancer.elsewhere(ask, now),
        };
        let wait = match &offer {
            Offer::Wait(key) => Some(service.enqueue(*key)),
            _ => None,
        };
        (offer, wait)
    };
    let grant = match (offer, wait) {
        (Offer::Go(grant), _) => grant,
        (Offer::Refuse(refusal), _) => return Err(refusal),
        (Offer::Wait(key), wait) => {
            let guard = QueueGuard {
                context,
                routed,
                key,
            };
            context.queue_wakeup.notify_one();
            line!(Event::Queued, request = routed.id, service = routed.service);
            let wait = wait.expect("a queued request has a receiver");
            let admission = wait.await;
            drop(guard);
            let waited = context.now().saturating_sub(now);
            context.metrics.queue_wait.observe(waited.as_secs_f64());
            // The sender is dropped only if the request is removed from the queue, which only this
            // task does.
            admission.unwrap_or(Err(Refusal {
                cause: Cause::Deadline,
                after: Duration::ZERO,
            }))?
        }
    };
    log_routed(routed, &grant, kind, context.now().saturating_sub(now));
    Ok(Slot {
        grant,
        context: context.clone(),
        routed: routed.clone(),
        released: false,
    })
}

fn log_routed(routed: &RoutedRequest, grant: &Grant, kind: AttemptKind, waited: Duration) {
    line!(
        Event::Routed,
        request = routed.id,
        service = routed.service,
        server = grant.server.name,
        turn = kind,
        trial = grant.trial,
        running = grant.running,
        score = grant.score,
        age_ms = grant.age.map(|age| age.as_millis() as u64),
        waited_ms = waited.as_millis() as u64,
        routes = routed.routes_version
    );
}

impl Slot {
    /// Releases the slot, and reports how the attempt ended.
    pub fn release(mut self, ending: Ending) {
        self.release_once(ending);
    }

    /// Returns which pooled connections the request may use.
    pub fn connection_terms(&self) -> Terms {
        let repeatable = self.routed.route.repeat.is_idempotent();
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        Terms {
            connections: self.grant.server.connections,
            rest: service.idle_limits.limit(repeatable),
        }
    }

    /// Records that a connection was reused successfully after it had been idle for `idle_time`.
    pub fn record_reuse(&self, idle_time: Duration) {
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        service.idle_limits.good(idle_time);
    }

    /// Records that a connection was reset after it had been idle for `idle_time`. Other idle
    /// connections to the server may be stale as well, so they are closed.
    pub fn record_reset(&self, idle_time: Duration) {
        let now = self.context.now();
        self.context.pool.forget(self.grant.server.address);
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        service
            .idle_limits
            .reset(&self.grant.server.name, idle_time, now);
    }

    /// Records how an attempt on a new connection ended, which shows whether an earlier reset was
    /// due to the idle time or to the server. The cause is sent to the other instances.
    pub fn explain_reset(&self, answered: bool) {
        let now = self.context.now();
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        let Some(cause) = service.idle_limits.fresh(&self.grant.server.name, answered) else {
            return;
        };
        service.idle_limits.learn(cause, now);
        let to = state.steering.everyone();
        drop(state);
        let service = self.routed.service.clone();
        line!(
            Event::ResetExplained,
            service = service,
            server = self.grant.server.name,
            cause = cause
        );
        self.context
            .send_packet(Packet::StaleConnection { service, cause }, to);
    }

    /// Records evidence on the server while the request is still in progress.
    pub fn record_evidence(&self, evidence: Evidence) {
        let now = self.context.now();
        let mut state = self.context.state();
        let Some(service) = state.services.get_mut(&self.routed.service) else {
            return;
        };
        let change = service.balancer.note(self.grant.key, evidence, now);
        let to = state.steering.everyone();
        drop(state);
        if let Some(change) = change {
            self.broadcast(&change, to);
        }
    }

    fn release_once(&mut self, ending: Ending) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.context.now();
        let mut state = self.context.state();
        let Some(service) = state.services.get_mut(&self.routed.service) else {
            return;
        };
        let route = &self.routed.route.name;
        let change = service.balancer.finish(self.grant.key, route, ending, now);
        if matches!(ending, Ending::Good(_)) {
            service.record_success(self.grant.server.name.clone());
        }
        service.release_waiting(now);
        let to = if change.is_some() {
            state.steering.everyone()
        } else {
            Vec::new()
        };
        drop(state);
        let labels = ServiceLabels {
            service: self.routed.service.to_string(),
            kind: ending_label(ending),
        };
        self.context.metrics.sends.get_or_create(&labels).inc();
        if let Some(change) = change {
            self.broadcast(&change, to);
        }
    }

    fn broadcast(&self, change: &Change, to: Vec<std::net::SocketAddr>) {
        if change.turned {
            line!(
                Event::Health,
                service = self.routed.service,
                server = change.server,
                evidence = change.evidence,
                suspect = change.suspect,
                score = change.score,
                request = self.routed.id
            );
            let labels = ServiceLabels {
                service: self.routed.service.to_string(),
                kind: if change.suspect { "suspect" } else { "cleared" },
            };
            self.context.metrics.verdicts.get_or_create(&labels).inc();
        }
        let packet = Packet::Evidence {
            from: self.context.settings.card.name.clone(),
            service: self.routed.service.clone(),
            server: change.server.clone(),
            evidence: change.evidence,
        };
        self.context.send_packet(packet, to);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release_once(Ending::Void);
    }
}

fn ending_label(ending: Ending) -> &'static str {
    match ending {
        Ending::Good(_) => "good",
        Ending::Bad(evidence) => evidence.into(),
        Ending::Shed => "shed",
        Ending::Misdirected => "misdirected",
        Ending::Timeout => "timeout",
        Ending::Void => "void",
    }
}
