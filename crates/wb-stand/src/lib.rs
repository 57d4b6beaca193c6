//! Stand-ins for the platform, backend servers and network links, with fault injection.
//!
//! - [`platform`]: table service, object store and list of processes, with outages.
//! - [`backend`]: backend servers with slots and partial failures.
//! - [`published`]: the users' platform and backend servers, as their published protocol has them.
//! - [`relay`]: network links that can be cut, also in one direction.
//! - [`reply`]: JSON bodies of requests and responses.
//! - [`scripted`]: servers that send scripted bytes.

pub mod backend;
pub mod platform;
pub mod published;
pub mod relay;
pub mod reply;
pub mod scripted;
