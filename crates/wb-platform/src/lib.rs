//! Port to the platform: table service, object store and list of processes.
//!
//! - [`protocol`]: the platform's published messages.
//! - [`Platform`]: what the fleet asks of it.
//! - [`remote`]: the platform over HTTP.

pub mod port;
pub mod protocol;
pub mod remote;

pub use port::Claimed;
pub use port::Committed;
pub use port::EditState;
pub use port::Error;
pub use port::Platform;
pub use remote::Remote;
