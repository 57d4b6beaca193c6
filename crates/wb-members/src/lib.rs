//! Membership of the fleet, and placement of services on its instances.
//!
//! - [`members`]: which instances are alive, by direct and indirect probes and by gossip that is
//!   piggybacked on them.
//! - [`placement`]: which instances are the homes of a service, and which home owns which server.
//! - [`reach`]: whether an instance reaches the backend servers.
//! - [`registration`]: the row by which other instances find one.
//! - [`steering`]: which instances callers are steered to.
//! - [`listing`]: the platform's list of backend servers, as one instance holds it.
//!
//! Membership and placement are soft state: instances whose views differ lose efficiency, never
//! correctness.

pub mod listing;
pub mod members;
pub mod placement;
pub mod reach;
pub mod registration;
pub mod steering;

pub use members::LivenessChange;
pub use members::Membership;
pub use members::Options;
