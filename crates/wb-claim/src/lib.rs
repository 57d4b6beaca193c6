//! Tickets: at-most-once execution of non-idempotent requests.
//!
//! - [`ticket`]: the idempotency key that the fleet issues.
//! - [`store`]: records of the tickets that an instance holds.
//! - [`forwarded`]: execution status of non-idempotent requests that another instance forwarded.
//!
//! Only the holder of a ticket may run its request. The holder is the process that issued the
//! ticket, or the one process that it granted the ticket to. This needs neither a shared store nor
//! the clock of another process: once the holder is gone, the request is never run again and its
//! outcome is unknown.

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
