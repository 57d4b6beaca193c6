//! Tickets: non-idempotent work that runs at most once.
//!
//! - [`ticket`]: the idempotency key that the fleet issues.
//! - [`claims`]: records of the tickets that an instance holds.
//! - [`passed`]: what became of non-idempotent work that another instance passed on.
//!
//! Only the holder of a ticket lets its work run. The holder is the process that issued it, or
//! one that it granted the ticket to, once. No store and no clock of another process is needed:
//! when the holder is gone, the work is never run again and its outcome is unknown.

pub mod forwarded;
pub mod store;
pub mod ticket;

pub use forwarded::ExecutionStatus;
pub use forwarded::ForwardedRequests;
pub use store::BeginOutcome;
pub use store::Completion;
pub use store::Handover;
pub use store::Options;
pub use store::StoredResponse;
pub use store::TicketRecord;
pub use store::TicketStore;
pub use ticket::Ticket;
