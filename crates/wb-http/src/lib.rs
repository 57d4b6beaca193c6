//! HTTP plumbing shared by the programs.
//!
//! - [`ActiveGuard`]: a request in progress.
//! - [`RequestBody`]: the body of a request that is still coming in.
//! - [`body`]: the body type, and bodies made of bytes.
//! - [`header`]: headers that go on from one connection to another.
//! - [`pool`]: connections to servers; a request is handed to one connection, once.
//! - [`client`]: whole requests with small bodies, for operators' and platform calls.
//! - [`serve`]: listeners for HTTP/1.1 and HTTP/2.

mod active;
pub mod body;
pub mod client;
pub mod header;
pub mod pool;
mod request_body;
pub mod serve;

pub use active::ActiveGuard;
pub use body::Body;
pub use pool::Pool;
pub use pool::SendError;
pub use request_body::RequestBody;
