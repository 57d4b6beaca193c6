//! One route.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::WeightedService;
use crate::split;

/// Name of a route, unique in its table.
pub type RouteName = Arc<str>;
/// Priority of a route; 0 is the highest.
pub type Priority = u8;

/// Whether a request may run more than once.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It runs at most once, and its body may be large.
    Upload,
}

impl Repeat {
    /// Whether the request may run any number of times.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

/// A route from a host and a path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host name of the requests.
    pub host: String,
    /// Path prefix, from slash to slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Longest time until the final response.
    pub timeout: Duration,
    /// Time within which callers want the response.
    pub target_latency: Duration,
    /// Priority among the routes of a service.
    pub priority: Priority,
    /// Most attempts for one request, each at another server.
    pub max_attempts: u32,
    /// Services that run the requests, with their weights.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Service for the `n`th request of this route.
    pub fn service_for(&self, n: u64) -> Option<&WeightedService> {
        split::pick(&self.services, n)
    }
}
