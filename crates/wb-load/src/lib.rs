//! Load generator and experiment runner for small fleets of real processes.
//!
//! - [`deploy`]: deployment files and port layout.
//! - [`fleet`]: starts and controls a small fleet of real processes.
//! - [`caller`]: a caller that caches instance addresses and verifies every response.
//! - [`demo`]: sends requests of each kind to every service and prints the outcomes.
//! - [`mixed`]: lookups, orders and uploads with verified responses.
//! - [`added`]: latency that the fleet adds.
//! - [`soak`]: orders under process and platform faults.
//! - [`edits`]: propagation time of policy edits.
//! - [`alarms`]: false ejections and detection times, simulated on virtual time.
//! - [`slopes`]: cost of state, messages and decisions at several sizes.
//! - [`scenario`]: steps of scripted scenarios.
//! - [`experiment`]: load and faults described by a file, and comparison of policies.

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
