//! Interface to the platform: table service, object store and list of processes.
//!
//! - [`protocol`]: messages of the platform's published protocol.
//! - [`api`]: the [`Platform`] trait, which abstracts the platform.
//! - [`remote`]: implementation of the trait over HTTP.

pub mod api;
pub mod protocol;
pub mod remote;

pub use api::ClaimResult;
pub use api::CommitResult;
pub use api::EditState;
pub use api::Error;
pub use api::Platform;
pub use remote::RemotePlatform;
