//! Weighted fair queues over classes, fair between the callers of a class.
//!
//! Start-time fair queueing: each flow (one row, one length) carries a tag that rises by
//! `1 / weight` with each piece of work served; the flow with the lowest tag is next. Within a
//! flow callers take turns. Work that has waited for more than half of what its row allows is
//! served newest first, so that a queue that has gone stale does not make all later work late.

mod flow;
mod queues;

pub use flow::QueueEntry;
pub use queues::Dequeued;
pub use queues::FairQueues;
