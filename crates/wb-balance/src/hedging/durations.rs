//! Distribution of the durations of a route's requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use wb_types::id::Moment;

/// Longest duration that is told from longer ones, in milliseconds.
const MILLIS_MAX: u64 = 60_000;
/// Significant decimal digits of a duration: a histogram takes about a kilobyte.
const DIGITS: u8 = 1;
/// Shortest time in which a generation of samples is collected: longer than most disturbances, so that
/// the median is one of undisturbed requests.
const GENERATION: Duration = Duration::from_secs(30);
/// Samples beyond a quantile from which on it is known.
const BEYOND_MIN: f64 = 5.0;

/// Distribution of the durations of a route's requests over one to two generations of samples. Older
/// ones are forgotten.
#[derive(Clone, Debug)]
pub struct Durations {
    /// Samples of this generation and the one before.
    recent: Histogram<u32>,
    /// Samples of this generation.
    fresh: Histogram<u32>,
    /// Samples that a generation has at least.
    enough: u64,
    /// Start of this generation.
    since: Moment,
    /// Time of the last sample.
    pub(super) updated: Moment,
}

impl Durations {
    /// A distribution without samples, of which quantiles up to `quantile` have to be known.
    pub fn new(quantile: f64, now: Moment) -> Self {
        let empty = Histogram::new_with_bounds(1, MILLIS_MAX, DIGITS);
        let empty = empty.expect("the bounds are valid");
        Self {
            recent: empty.clone(),
            fresh: empty,
            enough: (BEYOND_MIN / (1.0 - quantile)).ceil() as u64,
            since: now,
            updated: now,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, duration: Duration, now: Moment) {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(MILLIS_MAX);
        self.recent.saturating_record(millis.max(1));
        self.fresh.saturating_record(millis.max(1));
        self.updated = now;
        let is_old = now.saturating_sub(self.since) >= GENERATION;
        if is_old && self.fresh.len() >= self.enough {
            std::mem::swap(&mut self.recent, &mut self.fresh);
            self.fresh.reset();
            self.since = now;
        }
    }

    /// Returns a quantile; `None` until enough is known.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let known = self.recent.len() >= self.enough;
        known.then(|| Duration::from_millis(self.recent.value_at_quantile(quantile)))
    }
}
