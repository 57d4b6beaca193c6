//! Membership, homes and owners.
//!
//! - [`members`]: which instances are alive, by direct and indirect probes and by news that
//!   travels with them.
//! - [`place`]: which instances are the homes of a service, and which home owns which server.
//!
//! Both are soft state: two views that differ cost efficiency, never correctness.

pub mod listing;
pub mod members;
pub mod place;
pub mod steer;

pub use members::Change;
pub use members::Members;
pub use members::Options;
