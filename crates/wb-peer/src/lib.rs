//! Calls between instances.
//!
//! - [`handler`]: what an instance answers.
//! - [`call`]: what an instance asks, as messages to the thread that holds the connections.
//! - [`thread`]: that thread. The RPC library is bound to one thread.
//!
//! `peer_capnp.rs` is made by `capnp compile -orust:src --src-prefix=schema schema/peer.capnp`
//! and committed, so that the build needs no generator.

pub mod call;
pub mod handler;
pub mod thread;

#[allow(clippy::all, clippy::unwrap_used, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod peer_capnp;

pub use call::CallError;
pub use call::PeerClient;
pub use handler::Handler;
