//! Hedged attempts within a limit that operators set: a second attempt, while the first is in progress.
//!
//! Meant for a few slow answers at servers that are otherwise sound. While a service is slow as a whole,
//! or has no free slots, a second attempt adds load and is no faster: then there are none.
//!
//! - [`durations`]: from which a hedged attempt's delay follows.
//! - [`credit`]: how many an instance may add.

pub mod credit;
pub mod durations;

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServiceName;

use credit::Credit;
use durations::Durations;

/// Most routes whose durations are kept.
const ROUTES_MAX: usize = 256;
/// Quantile after which a trial of a suspect server, which probably fails, is hedged.
const TRIAL_QUANTILE: f64 = 0.75;
/// Weight of the newest request in the share of those that take longer than the median.
const SLOW_ALPHA: f64 = 0.03;
/// Share of requests that take longer than the median of a healthy service.
const SLOW_USUAL: f64 = 0.5;
/// Share from which on a service is slow as a whole: half of its servers are slow.
const SLOW_MAX: f64 = 0.75;

/// Limit on the hedged attempts of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimit {
    /// Hedged attempts, as a fraction of the requests of the service.
    pub share: f64,
    /// Quantile of the route's durations after which a hedged attempt starts.
    pub quantile: f64,
}

/// Hedged attempts of one service at one instance.
#[derive(Clone, Debug)]
pub struct Hedging {
    limit: HedgeLimit,
    credit: Credit,
    /// Durations by route.
    durations: HashMap<ServiceName, Durations>,
    /// Moving average of the share of requests that take longer than the median.
    slow_share: f64,
}

impl Hedging {
    /// Nothing is known yet.
    pub fn new(limit: HedgeLimit) -> Self {
        Self {
            limit,
            credit: Credit::new(limit.share),
            durations: HashMap::new(),
            slow_share: SLOW_USUAL,
        }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.credit.earn(now);
    }

    /// Time from the start of a first attempt to that of the hedged one; `None` until enough is known of
    /// the route, and if the limit admits none. Only routes that this was called for are known.
    pub fn delay(&mut self, route: &ServiceName, trial: bool, now: Moment) -> Option<Duration> {
        if self.limit.share <= 0.0 {
            return None;
        }
        let Some(durations) = self.durations.get(route) else {
            self.add_route(route, now);
            return None;
        };
        let quantile = if trial {
            TRIAL_QUANTILE.min(self.limit.quantile)
        } else {
            self.limit.quantile
        };
        durations.quantile(quantile)
    }

    fn add_route(&mut self, route: &ServiceName, now: Moment) {
        if self.durations.len() >= ROUTES_MAX {
            let oldest = self.durations.iter().min_by_key(|(_, one)| one.updated);
            if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
                self.durations.remove(&oldest);
            }
        }
        let durations = Durations::new(self.limit.quantile, now);
        self.durations.insert(route.clone(), durations);
    }

    /// Median of a route's durations; `None` until enough is known.
    pub fn median(&self, route: &str) -> Option<Duration> {
        self.durations.get(route)?.quantile(SLOW_USUAL)
    }

    /// Records that an attempt was answered after `duration`, or given up then for the answer to
    /// another.
    pub fn record_duration(&mut self, route: &str, duration: Duration, now: Moment) {
        let Some(durations) = self.durations.get_mut(route) else {
            return;
        };
        let median = durations.quantile(SLOW_USUAL);
        let due = durations.quantile(self.limit.quantile);
        durations.record(duration, now);
        // An attempt that was due for a hedged one was counted then.
        if let (Some(median), Some(due)) = (median, due)
            && duration < due
        {
            self.record_slow(duration > median);
        }
    }

    /// Records that a first attempt has no answer after the delay of the hedged one.
    pub fn record_due(&mut self) {
        self.record_slow(true);
    }

    fn record_slow(&mut self, slow: bool) {
        let slow = f64::from(u8::from(slow));
        self.slow_share += (slow - self.slow_share) * SLOW_ALPHA;
    }

    /// Whether the requests of the service take longer together.
    pub fn is_slow(&self) -> bool {
        self.slow_share >= SLOW_MAX
    }

    /// Whether the limit admits a hedged attempt.
    pub fn has_room(&self) -> bool {
        self.credit.has_room()
    }

    /// Counts a hedged attempt that is sent.
    pub fn spend(&mut self) {
        self.credit.spend();
    }
}
