//! What is usual for a service.

use std::time::Duration;

/// Completions before the median is trusted.
const SAMPLES_MIN: u32 = 20;
/// Largest relative step of the median's estimate.
const STEP_MAX: f64 = 0.25;
/// Smallest relative step of the median's estimate.
const STEP_MIN: f64 = 0.01;

/// Running median of the duration of short work, over all servers of the service.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    median: f64,
    samples: u32,
}

impl Baseline {
    /// Takes the duration of one completed piece of short work.
    pub fn add(&mut self, took: Duration) {
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

    /// Median duration, once there is enough work to tell.
    pub fn median(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| Duration::from_secs_f64(self.median))
    }
}
