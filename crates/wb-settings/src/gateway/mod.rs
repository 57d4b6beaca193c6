//! Options of the gateway daemon, beside the settings that the platform gives it.

mod read;

use std::collections::BTreeMap;

use serde::Serialize;
use wb_types::id::ServiceName;

/// Options that operators give the gateway daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Options {
    /// Hedged attempts.
    pub hedges: Hedges,
}

/// Limits on hedged attempts. Those of a service for which none is named are bounded by the budget of
/// retries alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Hedges {
    /// Limit of each service that has none of its own.
    pub all: Option<HedgeLimit>,
    /// Limits by service.
    pub services: BTreeMap<ServiceName, HedgeLimit>,
}

/// Limit on the hedged attempts of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HedgeLimit {
    /// Hedged attempts, as a fraction of the requests of the service.
    pub share: f64,
    /// Quantile of the route's durations after which a hedged attempt starts, 0 to 1.
    pub quantile: f64,
}

impl Hedges {
    /// The limit of a service, if one is named.
    pub fn limit(&self, service: &str) -> Option<HedgeLimit> {
        self.services.get(service).copied().or(self.all)
    }
}
