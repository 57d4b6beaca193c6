//! Whether work is short or long.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::request::ExpectedDuration;

/// Bodies from this size on make work long, in bytes.
pub const LONG_BODY_BYTES: u64 = 256 * 1024;
/// Routes that are remembered.
const ROUTES_MAX: usize = 1024;
/// A route whose usual time is this many medians is long.
const LONG_FACTOR: f64 = 5.0;
/// Weight of the newest duration in a route's usual time.
const NEWEST: f64 = 0.1;
/// Completions before a route's usual time is trusted.
const SAMPLES_MIN: u32 = 20;

/// Learns the usual duration of each route.
#[derive(Clone, Debug, Default)]
pub struct DurationClassifier {
    routes: HashMap<String, Route>,
}

/// Usual duration of a route.
#[derive(Clone, Copy, Debug)]
struct Route {
    secs: f64,
    samples: u32,
}

impl DurationClassifier {
    /// Takes the duration of one completed request.
    pub fn record(&mut self, route: &str, took: Duration) {
        let secs = took.as_secs_f64();
        if let Some(known) = self.routes.get_mut(route) {
            known.secs += NEWEST * (secs - known.secs);
            known.samples = known.samples.saturating_add(1);
            return;
        }
        if self.routes.len() < ROUTES_MAX {
            self.routes
                .insert(route.to_owned(), Route { secs, samples: 1 });
        }
    }

    /// Expected length of a request of a route, with a body of `size` bytes if that is known.
    pub fn classify(
        &self,
        route: &str,
        size: Option<u64>,
        median: Option<Duration>,
    ) -> ExpectedDuration {
        if size.is_none_or(|size| size >= LONG_BODY_BYTES) {
            return ExpectedDuration::Long;
        }
        let (Some(usual), Some(median)) = (self.routes.get(route), median) else {
            return ExpectedDuration::Short;
        };
        let long = usual.secs > median.as_secs_f64() * LONG_FACTOR;
        if long && usual.samples >= SAMPLES_MIN {
            ExpectedDuration::Long
        } else {
            ExpectedDuration::Short
        }
    }
}
