//! Bounds and weights of the decisions.

use serde::Deserialize;
use serde::Serialize;

/// Bounds and weights of a [`crate::Balancer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Failure domain of this instance.
    pub domain: String,
    /// Extra cost of a server in another failure domain, in service times.
    pub distance: f64,
    /// Extra cost per second since the last whole answer of a server, in service times, for work
    /// that must not repeat; its opposite draws idempotent work, which can be sent elsewhere.
    pub staleness: f64,
    /// Bound on the cost of staleness, in service times.
    pub stale_max: f64,
    /// Extra cost of a server without a whole answer since its last failure, in service times, for
    /// work that must not repeat; it falls with each whole answer.
    pub unproven: f64,
    /// Extra cost of a server at which all work is shed, in service times.
    pub shedding: f64,
    /// Requests that wait at most, per service.
    pub queue: usize,
    /// Part of the objective after which waiting work is given to a suspect server.
    pub patience: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            domain: String::new(),
            distance: 0.4,
            staleness: 0.3,
            stale_max: 1.0,
            unproven: 0.8,
            shedding: 2.0,
            queue: 2000,
            patience: 0.3,
        }
    }
}
