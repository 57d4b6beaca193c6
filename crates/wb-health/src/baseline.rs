//! Usual duration of the short requests of a service.

use std::time::Duration;

/// Completed requests before the median is used.
const SAMPLES_MIN: u32 = 20;
/// Largest relative step of the median estimate.
const STEP_MAX: f64 = 0.25;
/// Smallest relative step of the median estimate.
const STEP_MIN: f64 = 0.01;

/// Running estimate of the median duration of short requests, over all servers of the service.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    median: f64,
    samples: u32,
}

impl Baseline {
    /// Records the duration of a completed short request.
    pub fn record(&mut self, took: Duration) {
        let secs = took.as_secs_f64().max(1e-6);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.median = secs;
            return;
        }
        let step = (1.0 / f64::from(self.samples)).clamp(STEP_MIN, STEP_MAX);
        if secs > self.median {
            self.median *= 1.0 + step;
        } else {
            self.median /= 1.0 + step;
        }
    }

    /// Median duration, once enough requests have completed.
    pub fn median(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| Duration::from_secs_f64(self.median))
    }
}
