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
    pub remote_cost: f64,
    /// Extra cost per second since the last whole answer of a server, in service times, for work
    /// that must not repeat; its opposite draws idempotent work, which can be sent elsewhere.
    pub staleness_cost: f64,
    /// Bound on the cost of staleness, in service times.
    pub staleness_max: f64,
    /// Extra cost of a server without a whole answer since its last failure, in service times, for
    /// work that must not repeat; it falls with each whole answer.
    pub unproven_cost: f64,
    /// Extra cost of a server at which all work is shed, in service times.
    pub shed_cost: f64,
    /// Requests that wait at most, per service.
    pub queue_max: usize,
    /// Part of the objective after which waiting work is given to a suspect server.
    pub suspect_wait: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            domain: String::new(),
            remote_cost: 0.4,
            staleness_cost: 0.3,
            staleness_max: 1.0,
            unproven_cost: 0.8,
            shed_cost: 2.0,
            queue_max: 2000,
            suspect_wait: 0.3,
        }
    }
}
