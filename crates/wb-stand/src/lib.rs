//! Stand-ins for what the fleet meets: the platform, backend servers and links.
//!
//! - [`platform`]: table service, object store and list, with outages on request.
//! - [`backend`]: backend servers with slots, and every kind of gray failure on request.
//! - [`published`]: the users' platform and backend servers, by their published protocol.
//! - [`relay`]: links that can be cut, also in one direction.
//! - [`reply`]: answers in JSON.

pub mod backend;
pub mod platform;
pub mod published;
pub mod relay;
pub mod reply;
