//! Recognition of requests that crash the backend servers which run them ("queries of death").
//!
//! Evidence are the ends of server processes while they had the request, told among all instances. Any
//! number of requests may share the blame for one end, and most of them are innocent: a request is
//! held only after several ends without an answer in between. Decides without I/O.

pub mod answers;
pub mod quarantine;
pub mod report;

pub use quarantine::Change;
pub use quarantine::Crash;
pub use quarantine::Options;
pub use quarantine::Quarantine;
pub use quarantine::Standing;
pub use report::Report;
