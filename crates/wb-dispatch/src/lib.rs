//! Admission, queueing and the choice of a backend server, for one service at one instance.
//!
//! A service has one or more homes: the instances that own its backend servers and share its
//! limits. Any other instance forwards its requests for the service to a home.
//!
//! - [`dispatch`]: the dispatcher, which decides each request; it uses the other modules.
//! - [`policy`]: the interface between a dispatch policy and the daemon.
//! - [`naive`]: a policy without coordination between instances, for comparison.
//! - [`queue`]: weighted fair queueing over classes, fair between the callers of a class.
//! - [`limit`]: fleet-wide limits, of which each home admits a share.
//! - [`choice`]: the choice among servers and among other homes.
//! - [`duration`]: whether a request is expected to be short or long.
//! - [`budget`]: limits retries and mirrored requests to a ratio of the requests.
//!
//! Nothing here does I/O or reads a clock: the current time is a parameter.

pub mod budget;
pub mod choice;
pub mod dispatch;
pub mod duration;
pub mod limit;
pub mod naive;
pub mod policy;
pub mod queue;

pub use dispatch::Dispatcher;
pub use dispatch::Options;
pub use naive::Naive;
pub use policy::Decision;
pub use policy::DispatchPolicy;
pub use policy::RequestKey;
pub use policy::Verdict;
