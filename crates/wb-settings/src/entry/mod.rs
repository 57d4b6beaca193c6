//! Settings of the entry daemon.

mod read;
mod show;

use std::net::SocketAddr;
use std::time::Duration;

use wb_types::id::DomainName;
use wb_types::id::InstanceName;

/// Everything that an entry daemon is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Who the instance is.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: Listen,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// Tokens; never logged.
    pub tokens: Tokens,
    /// How the fleet acts together.
    pub fleet: Fleet,
    /// Bounds on callers' connections.
    pub limits: ConnectionLimits,
}

/// Who the instance is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Unique name.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers and for work passed on by other instances.
    pub callers: SocketAddr,
    /// For calls of other instances.
    pub peers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the table service, object store and list.
    pub address: SocketAddr,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Time between two looks at the list and the table.
    pub poll_interval: Duration,
}

/// Tokens that calls must carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tokens {
    /// Token of operators' calls.
    pub operators: String,
    /// Token of work that instances pass on to each other.
    pub peers: String,
}

/// How the fleet acts together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Homes of each service.
    pub homes: usize,
    /// Time between two membership probes.
    pub probe_interval: Duration,
    /// Time between two exchanges of load with the other homes.
    pub exchange_interval: Duration,
    /// Peer addresses to ask when the platform's list is not to be had.
    pub seeds: Vec<SocketAddr>,
    /// Whether each instance decides alone, for comparison.
    pub naive: bool,
}

/// Bounds on callers' connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Connections open at a time.
    pub max_connections: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest pause inside a body.
    pub idle_timeout: Duration,
}
