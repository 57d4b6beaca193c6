//! The entry daemon.
//!
//! A request comes in at [`proxy`], is decided by the [`service`] actor of its service, and goes
//! to a backend server or to another home. The [`fleet`] actor keeps membership and placement,
//! the [`rules`] actor the policy table, the [`recorder`] actor the decision records.
//! [`operators`] answers operators, [`peer`] other instances; [`leave`] ends it all without
//! cutting a request.

pub mod clock;
pub mod context;
pub mod fleet;
pub mod leave;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod proxy;
pub mod recorder;
pub mod rules;
pub mod service;
pub mod start;

pub use context::Context;
