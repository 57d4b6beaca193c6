//! All routes of one version.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_team::TeamTable;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;

use crate::Route;

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time until the head of a request is complete.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Connections that each of its servers accepts from the whole fleet.
    pub max_connections: u32,
    /// Path of a health check; `None` in tables that another instance has sent.
    #[serde(skip)]
    pub health_path: Option<String>,
}

/// All routes of one version, which take effect together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: TableVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Teams; instances send them beside the routes, whose format has no place for them.
    #[serde(skip)]
    pub teams: TeamTable,
    /// Routes by host in lower case, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of the given routes.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServiceConfig>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            teams: TeamTable::default(),
            hosts,
        }
    }

    /// The route with the longest prefix of a path, for a host with or without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        let mut routes: Vec<&Route> = self
            .hosts
            .values()
            .flatten()
            .map(|route| &**route)
            .collect();
        routes.sort_by(|one, other| one.name.cmp(&other.name));
        routes.into_iter()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
