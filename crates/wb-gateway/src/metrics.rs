//! Counters and durations.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

/// Labels of ended requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Service, empty if no route matched.
    pub service: String,
    /// Whether the request may be repeated, empty if no route matched.
    pub repeat: &'static str,
    /// `answered`, `refused`, `failed` or `gone`.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
}

/// Labels of a service and a kind of event there.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service.
    pub service: String,
    /// What happened.
    pub kind: &'static str,
}

/// Labels of calls to the platform.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// What was asked.
    pub call: &'static str,
    /// `good` or the kind of the error.
    pub result: &'static str,
}

/// Counters and durations of the daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the head of a request to the head of its answer.
    pub latency: Family<RequestLabels, Histogram>,
    /// Time that requests waited for a slot.
    pub queued: Histogram,
    /// Sends to backend servers by how they ended.
    pub sends: Family<ServiceLabels, Counter>,
    /// Verdicts on backend servers.
    pub verdicts: Family<ServiceLabels, Counter>,
    /// Calls to the platform.
    pub calls: Family<CallLabels, Counter>,
    /// Requests in progress.
    pub active: Gauge,
    /// Version of the routes in force.
    pub routes: Gauge,
    /// Time since the list of servers was confirmed, in milliseconds.
    pub listing_age: Gauge,
    /// Time since the routes were confirmed, in milliseconds.
    pub routes_age: Gauge,
    /// Packets to other instances that were dropped since too many waited.
    pub packets_dropped: Counter,
    /// Log lines dropped and not yet reported by a line.
    pub lines_dropped: Gauge,
}

/// Smallest bucket of the latency histograms, in seconds: about one answer of a server nearby.
const BUCKET: f64 = 0.004;

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET, 2.0, 13))
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency),
            queued: latency(),
            sends: Family::default(),
            verdicts: Family::default(),
            calls: Family::default(),
            active: Gauge::default(),
            routes: Gauge::default(),
            listing_age: Gauge::default(),
            routes_age: Gauge::default(),
            packets_dropped: Counter::default(),
            lines_dropped: Gauge::default(),
        };
        metrics.register()
    }

    fn register(mut self) -> Self {
        let mut all = Registry::with_prefix("wisteria_gateway");
        all.register("requests", "Requests that ended", self.requests.clone());
        all.register_with_unit(
            "latency",
            "Time to the head of an answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        all.register_with_unit(
            "queue_wait",
            "Time that requests waited for a slot",
            Unit::Seconds,
            self.queued.clone(),
        );
        all.register("sends", "Sends to backend servers", self.sends.clone());
        all.register(
            "verdicts",
            "Verdicts on backend servers",
            self.verdicts.clone(),
        );
        all.register(
            "platform_calls",
            "Calls to the platform",
            self.calls.clone(),
        );
        all.register(
            "requests_active",
            "Requests in progress",
            self.active.clone(),
        );
        all.register("routes_version", "Routes in force", self.routes.clone());
        all.register(
            "listing_age_milliseconds",
            "Time since the list of servers was confirmed",
            self.listing_age.clone(),
        );
        all.register(
            "routes_age_milliseconds",
            "Time since the routes were confirmed",
            self.routes_age.clone(),
        );
        all.register(
            "packets_dropped",
            "Packets to other instances dropped",
            self.packets_dropped.clone(),
        );
        all.register(
            "lines_dropped",
            "Log lines dropped",
            self.lines_dropped.clone(),
        );
        self.registry = all;
        self
    }

    /// All metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
