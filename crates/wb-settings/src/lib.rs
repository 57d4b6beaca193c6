//! Typed YAML settings, with all errors of a file reported at once.
//!
//! - [`read`]: reader of sections and values that collects findings with their positions.
//! - [`entry`]: settings of the entry daemon.
//! - [`gateway`]: options of the gateway daemon.

pub mod entry;
pub mod gateway;
pub mod read;

pub use entry::Settings;
pub use read::Finding;
