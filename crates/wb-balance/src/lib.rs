//! Choice of a backend server, queueing and refusal, without I/O.
//!
//! - [`trust`]: sequential test of one server; when it is tried again.
//! - [`balancer`]: the servers of one service, the choice among them, and who waits.
//! - [`retry`]: bound on requests that are sent to a second server.
//! - [`rest`]: how long a connection may have rested and still be used.
//! - [`options`]: bounds and weights, with their units.
//!
//! All times are passed in, so that a test can play any load on virtual time.

pub mod balancer;
pub mod options;
pub mod rest;
pub mod retry;
pub mod trust;

pub use balancer::Ask;
pub use balancer::Balancer;
pub use balancer::Ending;
pub use balancer::Grant;
pub use balancer::Listed;
pub use balancer::Offer;
pub use balancer::Refusal;
pub use balancer::ServerKey;
pub use balancer::WaitKey;
pub use options::Options;
pub use rest::Rests;
pub use retry::RetryBudget;
pub use trust::Evidence;
pub use trust::Trust;
