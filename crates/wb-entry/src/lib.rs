//! Entry daemon: a layer-7 proxy between callers and backend servers.
//!
//! A service has a few homes, the instances that own its backend servers: only the owner of a
//! server sends requests to it. Any instance accepts a request for any service.
//!
//! - [`proxy`] accepts requests and forwards them to a backend server or to another home.
//! - [`service`] is one actor per service. It decides where each request goes.
//! - [`fleet`] is the actor that maintains membership and placement.
//! - [`policy_table`] is the actor that maintains the policy table and commits edits.
//! - [`recorder`] is the actor that buffers decision records and writes them to the object store.
//! - [`operators`] serves operators, [`peer`] serves other instances.
//! - [`daemon`] starts the process; [`shutdown`] drains it without aborting requests.

pub mod clock;
pub mod context;
pub mod daemon;
pub mod fleet;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod policy_table;
pub mod proxy;
pub mod recorder;
pub mod service;
pub mod shutdown;

pub use context::Context;
