//! Evidence, ejection and return of backend servers.
//!
//! - [`baseline`]: what is usual for a service.
//! - [`score`]: sequential test of one server against the usual.
//! - [`floor`]: capacity that ejection must leave.
//! - [`ward`]: all servers of one service that an instance owns.
//! - [`options`]: rates and bounds of the test.

pub mod baseline;
pub mod floor;
pub mod options;
pub mod score;
pub mod ward;

pub use options::Options;
pub use ward::Change;
pub use ward::Sample;
pub use ward::ServerKey;
pub use ward::Ward;
