//! Which instances are the homes of a service, and which home owns which server.
//!
//! Homes are drawn by rendezvous hashing in each failure domain, so that instances that come and
//! go move few of them. A server is owned by a home of its own failure domain where there is one:
//! when a domain is lost, the servers that are left have kept their owners.

mod hash;
mod homes;
mod owners;
mod successors;

pub(crate) use hash::weight;
pub use homes::homes;
pub use owners::Owner;
pub use owners::owners;
pub use successors::successors;
