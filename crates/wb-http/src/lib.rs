//! HTTP plumbing shared by the programs.
//!
//! - [`body`]: the body type, and bodies made of bytes.
//! - [`header`]: headers that go on from one connection to another.
//! - [`pool`]: connections to servers; a request is handed to one connection, once.
//! - [`call`]: whole requests with small bodies, for operators' and platform calls.
//! - [`serve`]: listeners for HTTP/1.1 and HTTP/2.

pub mod body;
pub mod call;
pub mod header;
pub mod pool;
pub mod serve;

pub use body::Body;
pub use pool::Pool;
pub use pool::SendError;
