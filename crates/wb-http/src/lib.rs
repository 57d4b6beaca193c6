//! HTTP building blocks shared by all binaries.
//!
//! - [`ActiveGuard`]: counts a request in progress.
//! - [`RequestBody`]: body of a received request.
//! - [`body`]: body type of requests and responses.
//! - [`header`]: end-to-end and hop-by-hop headers, and statuses that end a request.
//! - [`pool`]: connection pool that sends each request at most once.
//! - [`client`]: client for calls whose bodies fit in memory, e.g. to the platform.
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
