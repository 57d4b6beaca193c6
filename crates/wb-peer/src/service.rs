//! What an instance answers.

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

/// Answers calls of other instances.
pub trait Service: Send + Sync {
    /// Takes news and gives its own.
    fn exchange(&self, news: GossipMessage) -> BoxFuture<'static, GossipMessage>;
    /// Probes another instance; whether it answered.
    fn probe(&self, target: SocketAddr) -> BoxFuture<'static, bool>;
    /// Policy rows that changed after a version.
    fn rows(&self, after: TableVersion) -> BoxFuture<'static, Delta>;
    /// Gives a ticket to another process, or says why not.
    fn take(&self, ticket: Ticket, holder: Holder) -> BoxFuture<'static, Handover>;
    /// Says what became of passed work, and bars it if it has not begun.
    fn settle(&self, request: RequestId) -> BoxFuture<'static, ExecutionStatus>;
    /// Takes over records of tickets.
    fn adopt(&self, records: Vec<TicketRecord>) -> BoxFuture<'static, ()>;
}
