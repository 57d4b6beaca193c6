//! Weighted split of a route's requests among its services.

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::ServiceName;

/// 2^64 divided by the golden ratio: its multiples modulo 2^64 spread evenly over the range of
/// `u64`.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// One service of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other services.
    pub weight: f64,
}

/// Service for the `n`th request. Short runs of requests also keep close to the shares, not only
/// long ones.
pub(crate) fn pick(services: &[WeightedService], n: u64) -> Option<&WeightedService> {
    let total: f64 = services.iter().map(|service| service.weight).sum();
    let mut left = n.wrapping_mul(GOLDEN_STEP) as f64 / u64::MAX as f64 * total;
    for service in services {
        left -= service.weight;
        if left < 0.0 {
            return Some(service);
        }
    }
    services.iter().rfind(|service| service.weight > 0.0)
}
