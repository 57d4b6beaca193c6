//! Trait for handling calls from other instances.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use wb_claim::ExecutionStatus;
use wb_claim::Handover;
use wb_claim::Ticket;
use wb_claim::TicketRecord;
use wb_claim::store::Holder;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::member::GossipMessage;
use wb_types::policy::Delta;

/// Handles calls from other instances.
pub trait Handler: Send + Sync {
    /// Processes the gossip message of another instance and returns that of this one.
    fn exchange(&self, gossip: GossipMessage) -> BoxFuture<'static, GossipMessage>;
    /// Probes another instance and returns whether it answered.
    fn probe(&self, target: SocketAddr) -> BoxFuture<'static, bool>;
    /// Returns the policy rows that changed after a version.
    fn rows(&self, after: TableVersion) -> BoxFuture<'static, Delta>;
    /// Hands a ticket over to another process, or returns why it cannot.
    fn take(&self, ticket: Ticket, holder: Holder) -> BoxFuture<'static, Handover>;
    /// Returns the outcome of a forwarded request, and bars the request if it has not begun.
    fn settle(&self, request: RequestId) -> BoxFuture<'static, ExecutionStatus>;
    /// Takes over ticket records.
    fn adopt(&self, records: Vec<TicketRecord>) -> BoxFuture<'static, ()>;
}
