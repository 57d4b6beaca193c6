//! Allowances of teams over all instances, without I/O.
//!
//! Answers the load of a team that sends more than its allowance, to many instances at once, some of
//! which may be cut off, suspended or restarted. Each instance owns an equal part of every allowance
//! and leases it to one home at a time; homes lend each other tokens.
//!
//! All times are those of the instance's own clock, which must go on while the instance is suspended.
//!
//! - [`limit`]: rate and capacity that follow from an allowance and the platform's tolerance.
//! - [`message`]: messages between instances.
//! - [`owner`]: to whom an instance leases its own part.
//! - [`leases`]: the parts that an instance holds.
//! - [`bucket`]: tokens of one team.
//! - [`account`]: these, and the questions for more of them.
//! - [`loan`]: questions for tokens that have not been answered.
//! - [`assignment`]: which home each instance leases its part to.
//! - [`ledger`]: the decisions of one instance.

pub mod account;
pub mod assignment;
pub mod bucket;
pub mod leases;
pub mod ledger;
pub mod limit;
pub mod loan;
pub mod message;
pub mod owner;

pub use account::Refusal;
pub use ledger::Ledger;
pub use ledger::Verdict;
pub use limit::Limit;
pub use limit::Tolerance;
pub use message::Credit;
pub use message::Grant;
pub use message::Lease;
pub use message::Offer;
pub use message::Question;

use std::time::Duration;

/// Duration of a lease at the home that holds it: three offers may be lost.
pub const LEASE_TIME: Duration = Duration::from_millis(1000);
/// Time for which an instance gives its part to nobody else after a lease: more than the duration of
/// a lease, since clocks run at slightly different speeds.
pub const HOLD_TIME: Duration = Duration::from_millis(1050);
