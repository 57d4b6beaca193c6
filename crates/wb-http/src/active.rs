//! Gauge of requests in progress.

use prometheus_client::metrics::gauge::Gauge;

/// Counts a request in a gauge until the guard is dropped.
pub struct ActiveGuard(Gauge);

impl ActiveGuard {
    /// Increments the gauge.
    pub fn new(gauge: &Gauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
