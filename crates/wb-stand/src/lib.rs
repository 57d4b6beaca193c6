//! Stand-ins for what the fleet meets: the platform, backend servers and links.
//!
//! - [`platform`]: table service, object store and list, with outages on request.
//! - [`backend`]: backend servers with slots, and every kind of gray failure on request.
//! - [`relay`]: links that can be cut, also in one direction.
//! - [`reply`]: answers in JSON.

pub mod backend;
pub mod platform;
pub mod relay;
pub mod reply;
