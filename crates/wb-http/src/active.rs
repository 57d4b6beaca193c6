//! Requests in progress.

use prometheus_client::metrics::gauge::Gauge;

/// Counts a request as active until it is dropped.
pub struct ActiveGuard(Gauge);

impl ActiveGuard {
    /// Counts one more.
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
