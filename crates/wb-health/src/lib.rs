//! Evidence, ejection and return of backend servers.
//!
//! - [`baseline`]: what is usual for a service.
//! - [`score`]: sequential test of one server against the usual.
//! - [`floor`]: capacity that ejection must leave.
//! - [`monitor`]: all servers of one service that an instance owns.
//! - [`options`]: rates and bounds of the test.

pub mod baseline;
pub mod floor;
pub mod monitor;
pub mod options;
pub mod score;

pub use monitor::HealthMonitor;
pub use monitor::Sample;
pub use monitor::ServerKey;
pub use monitor::StateChange;
pub use options::Options;
