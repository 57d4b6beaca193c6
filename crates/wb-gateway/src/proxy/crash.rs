//! Backend servers that end while they have a request.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::SendOptions;
use wb_members::listing::Lifetime;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

use super::path;
use super::request_key;
use super::routed::RoutedRequest;
use super::slot::Slot;
use crate::Context;
use crate::context::State;
use crate::follow::holds;
use crate::peers::bytes;
use crate::peers::quarantine;

/// Time in which all connections of a process that has ended are known to be closed.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// Longest time for a connection that shows whether the server still listens: some round trips
/// between failure domains. A server that neither accepts nor refuses may be cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Finds out in a task of its own whether the server of a slot has ended, after its connection was cut
/// in an attempt that began at the time `began`.
pub fn investigate(slot: &Slot, began: Moment) -> JoinHandle<()> {
    let state = slot.context.state();
    let service = state.services.get(&slot.routed.service);
    let now = slot.context.now();
    let held = service.map_or(0, |service| {
        service.balancer.peak_bytes(slot.assignment.key, now)
    });
    drop(state);
    let attempt = CutAttempt {
        held,
        body: slot.assignment.body,
        server: slot.assignment.server.clone(),
        lifetime: slot.lifetime,
        options: slot.send_options(),
        began,
    };
    tokio::spawn(attempt.investigate(slot.context.clone(), slot.routed.clone()))
}

/// Records that a server answered a request completely, and tells the other instances if that clears it
/// of something.
pub fn record_answer(context: &Arc<Context>, routed: &RoutedRequest) {
    let Some(key) = routed.key() else {
        return;
    };
    let now = context.now();
    let mut state = context.state();
    if let Some(change) = state.quarantine.record_answer(key, now) {
        quarantine::log_change(&change, Some(&routed.id), None);
        quarantine::tell(context, &state, key);
        holds::update(context, &change);
    }
}

/// An attempt whose connection was cut.
struct CutAttempt {
    server: Server,
    /// Start of the server's process; `None` if it has left the list meanwhile.
    lifetime: Option<Lifetime>,
    options: SendOptions,
    /// When the attempt began.
    began: Moment,
    /// Bytes of large bodies that the server held.
    held: u64,
    /// Those of the request itself.
    body: u64,
}

impl CutAttempt {
    async fn investigate(self, context: Arc<Context>, routed: Arc<RoutedRequest>) {
        let (Some(lifetime), Some(key)) = (self.lifetime, routed.key()) else {
            return;
        };
        if !self.has_ended(&context).await || self.was_leaving(&context, lifetime) {
            return;
        }
        context.metrics.servers_ended.inc();
        line!(
            Event::ServerEnded,
            request = routed.id,
            key = request_key::text(key),
            service = routed.service,
            server = self.server.name,
            started = lifetime,
            held = self.held,
            ran_ms = context.now().saturating_sub(self.began).as_millis() as u64
        );
        let now = context.now();
        let mut state = context.state();
        if self.is_due_to_bytes(&context, &mut state, &routed, now) {
            return;
        }
        let server = &self.server.name;
        let quarantine = &mut state.quarantine;
        if let Some(change) = quarantine.record_crash(key, server, lifetime, self.began, now) {
            quarantine::log_change(&change, Some(&routed.id), None);
            quarantine::tell(&context, &state, key);
            holds::update(&context, &change);
        }
    }

    /// Whether the server's process has ended: none of its connections is left, and it refuses new
    /// ones while others accept them. A connection that is accepted is kept for later requests.
    async fn has_ended(&self, context: &Context) -> bool {
        tokio::time::sleep(SETTLE_TIME).await;
        let address = self.server.address;
        if context.pool.has_idle(address) {
            return false;
        }
        let opening = context.pool.open(address, self.options);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let refused =
            matches!(opened, Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused);
        refused && path::is_open(context, address, CONNECT_TIMEOUT).await
    }

    /// Whether the server may have ended since it held too many bytes, which says nothing of the
    /// request. Less is sent to the servers from then on, also by the other homes.
    fn is_due_to_bytes(
        &self,
        context: &Context,
        state: &mut State,
        routed: &RoutedRequest,
        now: Moment,
    ) -> bool {
        let Some(service) = state.services.get_mut(&routed.service) else {
            return false;
        };
        let before = service.balancer.byte_limit(now);
        if !service.balancer.record_end(self.held, self.body, now) {
            return false;
        }
        let limit = service.balancer.byte_limit(now);
        line!(
            Event::BytesBlamed,
            request = routed.id,
            service = routed.service,
            server = self.server.name,
            held = self.held,
            limit = limit
        );
        if let Some(limit) = limit.filter(|_| limit != before) {
            bytes::tell_limit(context, state, &routed.service, limit);
        }
        true
    }

    /// Whether the server was due to end.
    fn was_leaving(&self, context: &Context, lifetime: Lifetime) -> bool {
        let state = context.state();
        let entry = state.listing.entries().get(&self.server.name);
        let live = entry.is_some_and(|entry| {
            entry.started == lifetime && entry.server.lifecycle == Lifecycle::Live
        });
        !live
    }
}
