//! The entry daemon.
//!
//! A request comes in at [`proxy`], is decided by the [`service`] actor of its service, and goes
//! to a backend server or to another home. The [`fleet`] actor keeps membership and placement,
//! the [`policy_table`] actor the policy table, the [`recorder`] actor the decision records.
//! [`operators`] answers operators, [`peer`] other instances; [`shutdown`] ends it all without
//! cutting a request.

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
