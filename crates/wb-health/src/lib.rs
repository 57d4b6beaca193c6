//! Outlier detection: ejection of failing backend servers and their return.
//!
//! - [`baseline`]: usual duration of the short requests of a service.
//! - [`score`]: sequential test of one server against the usual rate of bad results.
//! - [`floor`]: capacity that ejections must leave in rotation.
//! - [`monitor`]: health of all servers of one service that an instance owns.
//! - [`options`]: rates and limits of the test.

pub mod baseline;
pub mod floor;
pub mod monitor;
pub mod options;
pub mod score;

pub use monitor::Evidence;
pub use monitor::HealthMonitor;
pub use monitor::ServerKey;
pub use monitor::StateChange;
pub use options::Options;
