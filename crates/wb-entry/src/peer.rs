//! Handler for calls from other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use ractor::call_t;
use wb_claim::ExecutionStatus;
use wb_claim::Handover;
use wb_claim::Ticket;
use wb_claim::TicketRecord;
use wb_claim::store::Holder;
use wb_event::Event;
use wb_event::emit;
use wb_peer::Handler;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::member::GossipMessage;
use wb_types::policy::Delta;

use crate::Context;
use crate::fleet::FleetMessage;

/// Longest wait for the fleet actor, in milliseconds.
const FLEET_MS: u64 = 200;
/// Timeout of a probe that this instance makes on behalf of another.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Handles calls from other instances.
pub struct PeerHandler {
    context: Arc<Context>,
}

impl PeerHandler {
    /// Creates a handler.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }
}

impl Handler for PeerHandler {
    fn exchange(&self, gossip: GossipMessage) -> BoxFuture<'static, GossipMessage> {
        let fleet = self.context.actors().fleet.clone();
        async move {
            let gossip = Box::new(gossip);
            call_t!(fleet, FleetMessage::ServeExchange, FLEET_MS, gossip).unwrap_or_default()
        }
        .boxed()
    }

    fn probe(&self, target: SocketAddr) -> BoxFuture<'static, bool> {
        let peers = self.context.peers.clone();
        async move {
            let gossip = GossipMessage::default();
            peers.exchange(target, &gossip, PROBE_TIMEOUT).await.is_ok()
        }
        .boxed()
    }

    fn rows(&self, after: TableVersion) -> BoxFuture<'static, Delta> {
        let table = self.context.table();
        async move { table.delta_since(after) }.boxed()
    }

    fn take(&self, ticket: Ticket, holder: Holder) -> BoxFuture<'static, Handover> {
        let now = self.context.clock.now();
        let handover = {
            let mut tickets = self.context.tickets.lock().expect("lock is not poisoned");
            tickets.grant(&ticket, &holder, now)
        };
        async move { handover }.boxed()
    }

    fn settle(&self, request: RequestId) -> BoxFuture<'static, ExecutionStatus> {
        let now = self.context.clock.now();
        let status = {
            let mut forwarded = self.context.forwarded.lock().expect("lock is not poisoned");
            forwarded.settle(&request, now)
        };
        async move { status }.boxed()
    }

    fn adopt(&self, records: Vec<TicketRecord>) -> BoxFuture<'static, ()> {
        let now = self.context.clock.now();
        emit!(Event::TicketsMoved, "taken={}", records.len());
        let mut tickets = self.context.tickets.lock().expect("lock is not poisoned");
        for record in records {
            tickets.import(record, now);
        }
        async {}.boxed()
    }
}
