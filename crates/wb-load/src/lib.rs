//! Load and experiment tool.
//!
//! - [`deploy`]: deployment files.
//! - [`fleet`]: a small fleet of real processes.
//! - [`caller`]: a caller that asks for addresses, keeps them, and checks every answer.
//! - [`demo`], [`mixed`], [`added`], [`soak`], [`edits`]: runs with one purpose each.
//! - [`alarms`]: wrong ejections and detection on virtual time.
//! - [`slopes`]: what state, messages and decisions cost, at several sizes.
//! - [`scenario`]: steps of scripted scenarios on real processes.
//! - [`experiment`]: runs described by a file, with faults and comparison.

pub mod added;
pub mod alarms;
pub mod caller;
pub mod demo;
pub mod deploy;
pub mod edits;
pub mod experiment;
pub mod fleet;
pub mod mixed;
pub mod scenario;
pub mod slopes;
pub mod soak;
