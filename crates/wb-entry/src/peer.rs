//! Answering other instances.

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
use wb_peer::Service;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::member::GossipMessage;
use wb_types::policy::Delta;

use crate::Context;
use crate::fleet::FleetMessage;

/// Longest wait for the fleet's actor, in milliseconds.
const FLEET_MS: u64 = 200;
/// Longest wait for the answer of a member that is probed for another.
const PROBE: Duration = Duration::from_millis(250);

/// Answers calls of other instances.
pub struct Answers {
    context: Arc<Context>,
}

impl Answers {
    /// Answers for a daemon.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }
}

impl Service for Answers {
    fn exchange(&self, news: GossipMessage) -> BoxFuture<'static, GossipMessage> {
        let fleet = self.context.actors().fleet.clone();
        async move {
            let news = Box::new(news);
            call_t!(fleet, FleetMessage::Heard, FLEET_MS, news).unwrap_or_default()
        }
        .boxed()
    }

    fn probe(&self, target: SocketAddr) -> BoxFuture<'static, bool> {
        let peers = self.context.peers.clone();
        async move {
            let news = GossipMessage::default();
            peers.exchange(target, &news, PROBE).await.is_ok()
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
            let mut claims = self.context.claims.lock().expect("no holder panics");
            claims.grant(&ticket, &holder, now)
        };
        async move { handover }.boxed()
    }

    fn settle(&self, request: RequestId) -> BoxFuture<'static, ExecutionStatus> {
        let now = self.context.clock.now();
        let fate = {
            let mut passed = self.context.passed.lock().expect("no holder panics");
            passed.settle(&request, now)
        };
        async move { fate }.boxed()
    }

    fn adopt(&self, records: Vec<TicketRecord>) -> BoxFuture<'static, ()> {
        let now = self.context.clock.now();
        emit!(Event::TicketsMoved, "taken={}", records.len());
        let mut claims = self.context.claims.lock().expect("no holder panics");
        for record in records {
            claims.import(record, now);
        }
        async {}.boxed()
    }
}
