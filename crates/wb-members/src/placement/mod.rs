//! Which instances are the homes of a service, and which home owns which server.
//!
//! The homes of a service are the few instances that are advertised to its callers, queue its
//! requests and own its servers. Homes are chosen by rendezvous hashing in each failure domain, so
//! that few of them move when instances join or leave. A server is owned by a home of its own
//! failure domain if there is one, so that the loss of a domain moves no owners in the others.

mod homes;
mod owners;
mod successors;

pub use homes::homes;
pub use owners::Owner;
pub use owners::owners;
pub use successors::successors;
