//! Average durations of the requests of each route.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::ServiceName;

/// Weight of the newest sample in the moving average of a route's duration.
const ROUTE_ALPHA: f64 = 0.05;
/// Ratio of a route's latency target to the duration of its requests that is assumed until one was
/// seen: the users' targets are three to five times the usual duration.
const TARGET_RATIO: u32 = 4;

slotmap::new_key_type! {
    /// Key of a route in [`Durations`].
    pub struct RouteKey;
}

/// Moving averages by route and over all routes, in seconds.
#[derive(Clone, Debug)]
pub struct Durations {
    keys: HashMap<ServiceName, RouteKey>,
    /// `None` until a request of the route has ended.
    averages: slotmap::SlotMap<RouteKey, Option<f64>>,
    mean: f64,
}

impl Durations {
    /// No route is known; until one is, all requests take this long, in seconds.
    pub fn new(mean: f64) -> Self {
        Self {
            keys: HashMap::new(),
            averages: slotmap::SlotMap::with_key(),
            mean,
        }
    }

    /// Key of a route, by which its average is found without a search.
    pub fn key(&mut self, route: &str) -> RouteKey {
        if let Some(key) = self.keys.get(route) {
            return *key;
        }
        let key = self.averages.insert(None);
        self.keys.insert(route.into(), key);
        key
    }

    /// Average over all routes, in seconds.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Records the duration of a request, in seconds. Returns the average of its route before; `None`
    /// if it was the first.
    pub fn record(&mut self, route: &str, seconds: f64) -> Option<f64> {
        self.mean += (seconds - self.mean) * ROUTE_ALPHA;
        let key = self.key(route);
        let average = &mut self.averages[key];
        let before = *average;
        let old = average.get_or_insert(seconds);
        *old += (seconds - *old) * ROUTE_ALPHA;
        before
    }

    /// Average of a route; `None` until a request of it has ended.
    pub fn known(&self, route: &str) -> Option<Duration> {
        let key = self.keys.get(route)?;
        self.averages[*key].map(Duration::from_secs_f64)
    }

    /// The same, but until one has ended, a share of the route's latency target, or the average over
    /// all routes if it has none.
    pub fn typical(&self, route: &str, target: Duration) -> Duration {
        match self.known(route) {
            Some(duration) => duration,
            None => self.assumed(target),
        }
    }

    /// The same for a key.
    pub fn typical_of(&self, key: RouteKey, target: Duration) -> Duration {
        match self.averages[key] {
            Some(seconds) => Duration::from_secs_f64(seconds),
            None => self.assumed(target),
        }
    }

    fn assumed(&self, target: Duration) -> Duration {
        if target.is_zero() {
            Duration::from_secs_f64(self.mean)
        } else {
            target / TARGET_RATIO
        }
    }
}
