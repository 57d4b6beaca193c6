//! Metrics in the OpenMetrics format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

/// Labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Service that was requested.
    pub service: String,
    /// Class of the policy row.
    pub class: String,
    /// `answered`, or the reason for the refusal.
    pub result: String,
}

/// Metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    /// Finished requests by service, class and result.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests in progress.
    pub active: Gauge,
    /// Seconds from the head of a request to its first decision.
    pub added_latency: Histogram,
    /// Attempts after which a retry was allowed.
    pub retries: Counter,
    /// Requests forwarded to another home.
    pub forwarded: Counter,
    /// Ejections of backend servers.
    pub ejections: Counter,
    /// Version of the current policy table.
    pub table_version: Gauge,
    /// Tickets held by this process.
    pub tickets: Gauge,
    /// Payload bytes exchanged with other instances, both directions.
    pub control_traffic: Gauge,
    /// Decision records dropped because the buffer was full.
    pub records_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wisteria");
        let requests = Family::default();
        registry.register("requests", "Requests that were ended", requests.clone());
        let active = Gauge::default();
        registry.register("requests_active", "Requests in progress", active.clone());
        let added_latency = Histogram::new(exponential_buckets(0.0001, 2.0, 14));
        registry.register_with_unit(
            "added_latency",
            "Time from the head of a request to its first decision",
            Unit::Seconds,
            added_latency.clone(),
        );
        let retries = Counter::default();
        registry.register("retries", "Requests tried again", retries.clone());
        let forwarded = Counter::default();
        registry.register(
            "passed",
            "Requests passed to another home",
            forwarded.clone(),
        );
        let ejections = Counter::default();
        registry.register("ejections", "Backend servers ejected", ejections.clone());
        let table_version = Gauge::default();
        registry.register(
            "table_version",
            "Policy table in force",
            table_version.clone(),
        );
        let tickets = Gauge::default();
        registry.register("tickets", "Tickets held", tickets.clone());
        let control_traffic = Gauge::default();
        registry.register_with_unit(
            "control_traffic",
            "Payload exchanged with other instances",
            Unit::Bytes,
            control_traffic.clone(),
        );
        let records_dropped = Gauge::default();
        registry.register(
            "records_dropped",
            "Decision records dropped",
            records_dropped.clone(),
        );
        Self {
            registry,
            requests,
            active,
            added_latency,
            retries,
            forwarded,
            ejections,
            table_version,
            tickets,
            control_traffic,
            records_dropped,
        }
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
