//! Choice of a backend server, queueing and refusal, without I/O.
//!
//! - [`detector`]: sequential test of one server; when it is tried again.
//! - [`balancer`]: the servers of one service, the choice among them, and who waits.
//! - [`retry`]: bound on requests that are sent to a second server.
//! - [`idle`]: how long a connection may have rested and still be used.
//! - [`options`]: bounds and weights, with their units.
//!
//! All times are passed in, so that a test can play any load on virtual time.

pub mod balancer;
pub mod detector;
pub mod idle;
pub mod options;
pub mod retry;

pub use balancer::Balancer;
pub use balancer::Decision;
pub use balancer::Grant;
pub use balancer::ListedServer;
pub use balancer::Refusal;
pub use balancer::RequestInfo;
pub use balancer::SendOutcome;
pub use balancer::ServerKey;
pub use balancer::WaitKey;
pub use detector::Evidence;
pub use detector::FailureDetector;
pub use idle::IdleLimits;
pub use options::Options;
pub use retry::RetryBudget;
