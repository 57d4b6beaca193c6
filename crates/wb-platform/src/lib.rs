//! Port to the platform: table service, object store and list of processes.
//!
//! - [`protocol`]: the platform's published messages.
//! - [`Platform`]: what the fleet asks of it.
//! - [`remote`]: the platform over HTTP.

pub mod api;
pub mod protocol;
pub mod remote;

pub use api::ClaimResult;
pub use api::CommitResult;
pub use api::EditState;
pub use api::Error;
pub use api::Platform;
pub use remote::RemotePlatform;
