//! One team, and what its callers are entitled to.

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::TeamName;

/// Requests that all instances together serve a team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests on top of the rate, after a time without any.
    pub burst: f64,
}

/// A team of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Priority of its requests; `None` if that of their route holds.
    pub priority: Option<u8>,
    /// Its allowance; `None` if it has no limit.
    pub allowance: Option<Allowance>,
}

/// The team of a request's caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name of the team.
    pub team: TeamName,
    /// Priority of its requests; `None` if that of their route holds.
    pub priority: Option<u8>,
    /// Its allowance; `None` if it has no limit.
    pub allowance: Option<Allowance>,
    /// What it is due where there is too little room, relative to other teams.
    pub weight: f64,
}
