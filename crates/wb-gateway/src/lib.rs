//! Gateway daemon: a reverse proxy for callers that a platform's directory steers to it.
//!
//! - [`platform`]: interface to the platform that an adapter implements.
//! - [`settings`], [`context`], [`clock`], [`service`], [`metrics`], [`allowance_metrics`]: state shared by all parts.
//! - [`proxy`]: forwarding of callers' requests to backend servers.
//! - [`directory`]: endpoints that name addresses for callers and report readiness.
//! - [`follow`]: synchronization of routes, servers and members with the platform.
//! - [`peers`]: messages between instances.
//! - [`start`], [`shutdown`]: startup and graceful shutdown.
//!
//! A few instances are homes: the directory names only their addresses, so that they carry nearly
//! all requests. The other instances still serve callers that use older directory answers.

pub mod allowance_metrics;
pub mod clock;
pub mod context;
pub mod directory;
pub mod follow;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod settings;
pub mod shutdown;
pub mod start;

pub use context::Context;
pub use settings::Settings;
pub use start::Daemon;
