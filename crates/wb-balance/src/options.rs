//! Limits and cost weights of the balancer.

use serde::Deserialize;
use serde::Serialize;

/// Limits and cost weights of a [`crate::Balancer`]. Costs are in units of the average duration of
/// a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Failure domain of this instance.
    pub domain: String,
    /// Extra cost of a server in another failure domain.
    pub remote_cost: f64,
    /// Cost per second since a server's last complete response. Added for non-idempotent requests,
    /// subtracted for idempotent ones, which can be sent again elsewhere.
    pub staleness_cost: f64,
    /// Upper bound of the staleness cost.
    pub staleness_max: f64,
    /// Extra cost of a server without a complete response since its last failure, for
    /// non-idempotent requests; falls with each complete response.
    pub unproven_cost: f64,
    /// Extra cost of a server that sheds every request.
    pub shed_cost: f64,
    /// Longest queue of a service, in requests.
    pub queue_max: usize,
    /// Fraction of the latency target after which a queued request may go to a suspect server.
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
