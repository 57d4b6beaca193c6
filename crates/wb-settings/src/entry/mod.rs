//! Settings of the entry daemon.

mod read;
mod show;

use std::net::SocketAddr;
use std::time::Duration;

use wb_types::id::DomainName;
use wb_types::id::InstanceName;

/// Settings that an entry daemon reads at startup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Tokens; never logged.
    pub tokens: Tokens,
    /// Cooperation of the instances.
    pub fleet: Fleet,
    /// Limits of callers' connections.
    pub limits: ConnectionLimits,
}

/// Identity of the instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Address for requests of callers, and for those that other instances forward.
    pub callers: SocketAddr,
    /// Address for calls from other instances.
    pub peers: SocketAddr,
    /// Address for operators and metrics.
    pub operators: SocketAddr,
}

/// Access to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the table service, object store and list.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Interval of polling the list and the table.
    pub poll_interval: Duration,
}

/// Tokens that requests must carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tokens {
    /// Token of operators' requests.
    pub operators: String,
    /// Token of requests that instances forward to each other.
    pub peers: String,
}

/// Cooperation of the instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Number of home instances of each service.
    pub homes: usize,
    /// Interval of membership probes.
    pub probe_interval: Duration,
    /// Interval of exchanging load with the other homes.
    pub exchange_interval: Duration,
    /// Peer addresses of instances to contact while the platform's list is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Whether each instance decides alone, without the load of its peers; a baseline for
    /// comparison.
    pub naive: bool,
}

/// Limits of callers' connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for a request head.
    pub head_timeout: Duration,
    /// Timeout for the next data of a body.
    pub idle_timeout: Duration,
}
