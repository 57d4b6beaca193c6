//! Membership, homes and owners.
//!
//! - [`members`]: which instances are alive, by direct and indirect probes and by news that
//!   travels with them.
//! - [`placement`]: which instances are the homes of a service, and which home owns which server.
//!
//! Both are soft state: two views that differ cost efficiency, never correctness.

pub mod listing;
pub mod members;
pub mod placement;
pub mod steering;

pub use members::LivenessChange;
pub use members::Membership;
pub use members::Options;
