//! Tickets: non-idempotent work that runs at most once.
//!
//! - [`ticket`]: the idempotency key that the fleet issues.
//! - [`claims`]: records of the tickets that an instance holds.
//! - [`passed`]: what became of non-idempotent work that another instance passed on.
//!
//! Only the holder of a ticket lets its work run. The holder is the process that issued it, or
//! one that it granted the ticket to, once. No store and no clock of another process is needed:
//! when the holder is gone, the work is never run again and its outcome is unknown.

pub mod claims;
pub mod passed;
pub mod ticket;

pub use claims::Answer;
pub use claims::Begin;
pub use claims::Claims;
pub use claims::End;
pub use claims::Handover;
pub use claims::Options;
pub use claims::Record;
pub use passed::Fate;
pub use passed::Passed;
pub use ticket::Ticket;
