//! Shares of the services of one route.

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::ServiceName;

/// 2^64 divided by the golden ratio: multiples of it spread evenly over the range of `u64`.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// One service of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the other parts.
    pub weight: f64,
}

/// Part for the `n`th request. Any run of requests keeps close to the shares, not only a long one.
pub(crate) fn pick(parts: &[WeightedService], n: u64) -> Option<&WeightedService> {
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let mut left = n.wrapping_mul(GOLDEN) as f64 / u64::MAX as f64 * total;
    for part in parts {
        left -= part.weight;
        if left < 0.0 {
            return Some(part);
        }
    }
    parts.iter().rfind(|part| part.weight > 0.0)
}
