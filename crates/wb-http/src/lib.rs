//! HTTP plumbing shared by the programs.
//!
//! - [`Active`]: a request in progress.
//! - [`Arriving`]: the body of a request that is still coming in.
//! - [`body`]: the body type, and bodies made of bytes.
//! - [`header`]: headers that go on from one connection to another.
//! - [`pool`]: connections to servers; a request is handed to one connection, once.
//! - [`call`]: whole requests with small bodies, for operators' and platform calls.
//! - [`serve`]: listeners for HTTP/1.1 and HTTP/2.

mod active;
mod arriving;
pub mod body;
pub mod call;
pub mod header;
pub mod pool;
pub mod serve;

pub use active::Active;
pub use arriving::Arriving;
pub use body::Body;
pub use pool::Pool;
pub use pool::SendError;
