//! What an instance answers.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use wb_claim::Fate;
use wb_claim::Handover;
use wb_claim::Record;
use wb_claim::Ticket;
use wb_claim::claims::Holder;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::member::News;
use wb_types::policy::Delta;

/// Answers calls of other instances.
pub trait Handler: Send + Sync {
    /// Takes news and gives its own.
    fn exchange(&self, news: News) -> BoxFuture<'static, News>;
    /// Probes another instance; whether it answered.
    fn probe(&self, target: SocketAddr) -> BoxFuture<'static, bool>;
    /// Policy rows that changed after a version.
    fn rows(&self, after: TableVersion) -> BoxFuture<'static, Delta>;
    /// Gives a ticket to another process, or says why not.
    fn take(&self, ticket: Ticket, holder: Holder) -> BoxFuture<'static, Handover>;
    /// Says what became of passed work, and bars it if it has not begun.
    fn settle(&self, request: RequestId) -> BoxFuture<'static, Fate>;
    /// Takes over records of tickets.
    fn adopt(&self, records: Vec<Record>) -> BoxFuture<'static, ()>;
}
