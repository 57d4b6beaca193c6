//! Queues, limits, slots and the choice of a backend server, for one service at one instance.
//!
//! - [`dispatch`]: takes requests and gives decisions; the other parts serve it.
//! - [`policy`]: the border towards the daemon.
//! - [`naive`]: an instance that decides alone, for comparison.
//! - [`queue`]: weighted fair queues over classes, fair between the callers of a class.
//! - [`limit`]: fleet-wide rate limits, of which each home admits a share.
//! - [`choice`]: which server, and which other home.
//! - [`length`]: whether work is short or long.
//! - [`budget`]: retries and copies as a share of real work.
//!
//! Nothing here does I/O or reads a clock: time is passed in.

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
pub use policy::Policy;
pub use policy::RequestKey;
pub use policy::Verdict;
