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

/// Shortest interval between the offers of a home.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Interval between the offers of a home for each instance of the fleet, so that the offers of all
/// homes together don't grow with the fleet.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(1);
/// Duration of a lease in intervals, in tenths: three offers may be lost.
const LEASE_TENTHS: u32 = 33;
/// Time for which an instance gives its part to nobody else after a lease, relative to the lease:
/// clocks run at slightly different speeds.
const HOLD_FACTOR: f64 = 1.06;

/// Interval between the offers of a home in a fleet of so many instances.
pub fn offer_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    INTERVAL_PER_MEMBER
        .saturating_mul(members)
        .max(INTERVAL_MIN)
}

/// Duration of a lease at the home that holds it, in a fleet of so many instances.
pub fn lease_time(members: usize) -> Duration {
    offer_interval(members) * LEASE_TENTHS / 10
}

/// Time for which an instance gives its part to nobody else after a lease of this duration.
pub fn hold_time(lease: Duration) -> Duration {
    lease.mul_f64(HOLD_FACTOR)
}
