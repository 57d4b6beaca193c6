//! Metrics of the daemon.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::allowance_metrics::AllowanceMetrics;

/// Labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Service; empty if no route matched.
    pub service: String,
    /// Whether the request may be retried; empty if no route matched.
    pub repeat: &'static str,
    /// `answered`, `refused`, `failed` or `gone` (the caller disconnected).
    pub outcome: &'static str,
    /// Reason of the outcome; may be empty.
    pub reason: &'static str,
}

/// Labels of a service and a kind of event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service.
    pub service: String,
    /// Kind of the event.
    pub kind: &'static str,
}

/// Labels of calls to the platform.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// Name of the call.
    pub call: &'static str,
    /// `good`, or the kind of the error.
    pub result: &'static str,
}

/// Metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the head of a request to the head of its response.
    pub latency: Family<RequestLabels, Histogram>,
    /// Time that requests waited in the queue for a slot.
    pub queue_wait: Histogram,
    /// Attempts at backend servers, by how they ended.
    pub attempts: Family<ServiceLabels, Counter>,
    /// Changes of a backend server's health.
    pub verdicts: Family<ServiceLabels, Counter>,
    /// Attempts at servers with a known limit.
    pub limited_attempts: Family<ServiceLabels, Counter>,
    /// Repeats and hedged sends that were refused, since the team of the request has used what it is
    /// due.
    pub share_refusals: Family<ServiceLabels, Counter>,
    /// Hedged attempts within the operators' limits, by how they ended or why they were refused.
    pub hedges: Family<ServiceLabels, Counter>,
    /// Servers with a known limit.
    pub limited_servers: Gauge,
    /// Requests whose server ended while it had them.
    pub servers_ended: Counter,
    /// Requests that are held, since servers ended while they had them.
    pub requests_held: Gauge,
    /// 1 while this instance reaches no backend server and others do.
    pub servers_unreachable: Gauge,
    /// Calls to the platform.
    pub platform_calls: Family<CallLabels, Counter>,
    /// Era of the platform's store.
    pub platform_era: Gauge,
    /// Requests in progress.
    pub requests_active: Gauge,
    /// Slots at backend servers that count as taken by requests of this instance.
    pub slots_taken: Gauge,
    /// Slots that requests of this instance hold. Equal to those that are taken, as long as no server
    /// leaves the list while it has requests.
    pub slots_held: Gauge,
    /// Slots that count as taken by requests of other instances.
    pub slots_reported: Gauge,
    /// Version of the routes in use.
    pub routes_version: Gauge,
    /// Time since the server list was confirmed as complete, in milliseconds.
    pub listing_age: Gauge,
    /// Time between two moments at which the server list was confirmed as complete: bounds how late
    /// a change of a server was learnt.
    pub listing_gap: Histogram,
    /// Time since the routes were confirmed as the newest, in milliseconds.
    pub routes_age: Gauge,
    /// Datagrams to other instances that were dropped because the outbox was full.
    pub packets_dropped: Counter,
    /// Log lines dropped and not yet reported by a log line.
    pub lines_dropped: Gauge,
    /// Allowances of teams.
    pub allowances: AllowanceMetrics,
}

/// Smallest bucket of the latency histograms, in seconds: about the time of one response from a
/// server nearby.
const FIRST_BUCKET_SECONDS: f64 = 0.004;

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, 13))
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
            latency: Family::new_with_constructor(latency_histogram),
            queue_wait: latency_histogram(),
            attempts: Family::default(),
            verdicts: Family::default(),
            limited_attempts: Family::default(),
            share_refusals: Family::default(),
            hedges: Family::default(),
            limited_servers: Gauge::default(),
            servers_ended: Counter::default(),
            requests_held: Gauge::default(),
            servers_unreachable: Gauge::default(),
            platform_calls: Family::default(),
            platform_era: Gauge::default(),
            requests_active: Gauge::default(),
            slots_taken: Gauge::default(),
            slots_held: Gauge::default(),
            slots_reported: Gauge::default(),
            routes_version: Gauge::default(),
            listing_age: Gauge::default(),
            listing_gap: latency_histogram(),
            routes_age: Gauge::default(),
            packets_dropped: Counter::default(),
            lines_dropped: Gauge::default(),
            allowances: AllowanceMetrics::default(),
        };
        metrics.register()
    }

    fn register(mut self) -> Self {
        let mut registry = Registry::with_prefix("wisteria_gateway");
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register_with_unit(
            "latency",
            "Time to the head of an answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register_with_unit(
            "queue_wait",
            "Time that requests waited for a slot",
            Unit::Seconds,
            self.queue_wait.clone(),
        );
        registry.register("sends", "Sends to backend servers", self.attempts.clone());
        registry.register(
            "verdicts",
            "Verdicts on backend servers",
            self.verdicts.clone(),
        );
        registry.register(
            "limited_sends",
            "Sends to backend servers that have named a limit",
            self.limited_attempts.clone(),
        );
        registry.register(
            "share_refusals",
            "Repeats refused since the team of the request has used what it is due",
            self.share_refusals.clone(),
        );
        registry.register(
            "hedges",
            "Hedged sends within the limits of operators",
            self.hedges.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers that have named a limit",
            self.limited_servers.clone(),
        );
        registry.register(
            "servers_ended",
            "Requests whose backend server ended while it had them",
            self.servers_ended.clone(),
        );
        registry.register(
            "requests_held",
            "Requests that are held, since backend servers ended while they had them",
            self.requests_held.clone(),
        );
        registry.register(
            "servers_unreachable",
            "Whether this instance reaches no backend server while others do",
            self.servers_unreachable.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        registry.register(
            "platform_era",
            "Times that the platform's store came back from an older copy",
            self.platform_era.clone(),
        );
        registry.register(
            "requests_active",
            "Requests in progress",
            self.requests_active.clone(),
        );
        registry.register(
            "slots_taken",
            "Slots at backend servers taken by requests of this instance",
            self.slots_taken.clone(),
        );
        registry.register(
            "slots_held",
            "Slots at backend servers held by requests of this instance",
            self.slots_held.clone(),
        );
        registry.register(
            "slots_reported",
            "Slots at backend servers taken by requests of other instances",
            self.slots_reported.clone(),
        );
        registry.register(
            "routes_version",
            "Routes in force",
            self.routes_version.clone(),
        );
        registry.register(
            "listing_age_milliseconds",
            "Time since the list of servers was confirmed",
            self.listing_age.clone(),
        );
        registry.register_with_unit(
            "listing_gap",
            "Time between confirmations of the list of servers",
            Unit::Seconds,
            self.listing_gap.clone(),
        );
        registry.register(
            "routes_age_milliseconds",
            "Time since the routes were confirmed",
            self.routes_age.clone(),
        );
        registry.register(
            "packets_dropped",
            "Packets to other instances dropped",
            self.packets_dropped.clone(),
        );
        registry.register(
            "lines_dropped",
            "Log lines dropped",
            self.lines_dropped.clone(),
        );
        self.allowances.register(&mut registry);
        self.registry = registry;
        self
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
