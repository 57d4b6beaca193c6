//! Typed YAML settings with collected findings.
//!
//! - [`read`]: reads sections and values, collecting every finding with its place.
//! - [`entry`]: settings of the entry daemon.

pub mod entry;
pub mod read;

pub use entry::Settings;
pub use read::Finding;
