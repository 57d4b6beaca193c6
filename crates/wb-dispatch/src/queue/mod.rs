//! Weighted fair queueing over classes, fair between the callers of a class.
//!
//! Start-time fair queueing: each flow (one row and expected duration) has a tag that increases by
//! `cost / weight` with each dequeued request, where a short request costs 1; the flow with the
//! lowest tag is next. Within a flow the callers take turns. A caller's requests are dequeued
//! newest first while its oldest one has waited for more than half of the row's maximum wait, so
//! that a backlog does not make all later requests late too.

mod flow;
mod queues;

pub use flow::QueueEntry;
pub use queues::Dequeued;
pub use queues::FairQueues;
