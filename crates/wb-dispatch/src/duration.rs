//! Expected duration of requests: short or long.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::request::ExpectedDuration;

/// Requests with bodies of this size or more are long, in bytes.
pub const LONG_BODY_BYTES: u64 = 256 * 1024;
/// Maximum number of routes with statistics.
const ROUTES_MAX: usize = 1024;
/// A route is long if its mean duration exceeds this multiple of the median.
const LONG_MEDIANS: f64 = 5.0;
/// Weight of the newest sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Number of samples before a route's mean is used.
const SAMPLES_MIN: u32 = 20;

/// Classifies requests by the mean duration of their route.
#[derive(Clone, Debug, Default)]
pub struct DurationClassifier {
    routes: HashMap<String, RouteStats>,
}

/// Exponentially weighted mean duration of a route.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    secs: f64,
    samples: u32,
}

impl DurationClassifier {
    /// Records the duration of a completed request. Routes beyond the maximum are ignored.
    pub fn record(&mut self, route: &str, took: Duration) {
        let secs = took.as_secs_f64();
        if let Some(stats) = self.routes.get_mut(route) {
            stats.secs += EWMA_WEIGHT * (secs - stats.secs);
            stats.samples = stats.samples.saturating_add(1);
            return;
        }
        if self.routes.len() < ROUTES_MAX {
            self.routes
                .insert(route.to_owned(), RouteStats { secs, samples: 1 });
        }
    }

    /// Expected duration of a request of a route. `body_size` is in bytes, `None` if unknown, which
    /// counts as long; `median` is that of short requests.
    pub fn classify(
        &self,
        route: &str,
        body_size: Option<u64>,
        median: Option<Duration>,
    ) -> ExpectedDuration {
        if body_size.is_none_or(|body_size| body_size >= LONG_BODY_BYTES) {
            return ExpectedDuration::Long;
        }
        let (Some(stats), Some(median)) = (self.routes.get(route), median) else {
            return ExpectedDuration::Short;
        };
        let long = stats.secs > median.as_secs_f64() * LONG_MEDIANS;
        if long && stats.samples >= SAMPLES_MIN {
            ExpectedDuration::Long
        } else {
            ExpectedDuration::Short
        }
    }
}
