//! Daemon that serves callers on a platform that steers them to the daemons' addresses.
//!
//! - [`platform`]: what the daemon asks of the platform, and the names used on the wire there.
//! - [`settings`], [`context`], [`service`], [`metrics`]: what all parts share.
//! - [`front`]: requests of callers.
//! - [`directory`]: which addresses callers should use; whether the instance is ready.
//! - [`follow`]: routes and servers as the platform has them.
//! - [`peers`]: what instances tell each other.
//! - [`start`], [`shutdown`]: the life of the daemon.

pub mod context;
pub mod directory;
pub mod follow;
pub mod front;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod service;
pub mod settings;
pub mod shutdown;
pub mod start;

pub use context::Context;
pub use settings::Settings;
pub use start::Daemon;
