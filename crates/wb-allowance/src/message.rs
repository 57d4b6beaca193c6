//! Messages between instances. The order of variants and fields is part of the format.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::TeamName;

/// A home asks an instance for the lease of its part, or to renew it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Sender.
    pub from: InstanceName,
    /// Process start of the sender.
    pub incarnation: Incarnation,
    /// Time of sending, by the sender's clock.
    pub sent: Moment,
    /// Duration of the lease, from the time of sending.
    pub lasts: Duration,
}

/// Tokens that come with a lease.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum Credit {
    /// None.
    #[default]
    None,
    /// The part of what a restarted fleet starts with.
    Start,
    /// The part of full buckets, at the first start of the system.
    Full,
}

/// An instance leases its part to a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Sender, which owns the part.
    pub from: InstanceName,
    /// Process start of the sender.
    pub incarnation: Incarnation,
    /// Process start of the home that made the offer.
    pub holder: Incarnation,
    /// Time of the offer, by the home's clock. The lease runs from then.
    pub sent: Moment,
    /// Duration of the lease, as in the offer.
    pub lasts: Duration,
    /// Part of every allowance that the sender owns, between 0 and 1.
    pub part: f64,
    /// Whether the part is leased. Otherwise a former process of the sender may still have leased it, and
    /// only the tokens of the credit come.
    pub is_leased: bool,
    /// Tokens that come with it, once for each process start of the sender.
    pub credit: Credit,
}

/// An instance asks another one for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Sender.
    pub from: InstanceName,
    /// Process start of the sender.
    pub incarnation: Incarnation,
    /// Number of the question, unique for the process start.
    pub serial: u64,
    /// Tokens wanted, by team.
    pub wanted: Vec<(TeamName, f64)>,
}

/// Response to a question. The tokens have been taken from the sender's buckets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Sender.
    pub from: InstanceName,
    /// Process start of the instance that asked.
    pub incarnation: Incarnation,
    /// Number of the question.
    pub serial: u64,
    /// Tokens granted, by team, 0 included.
    pub granted: Vec<(TeamName, f64)>,
    /// Whether tokens that lack at the sender lack everywhere.
    pub is_known: bool,
}
