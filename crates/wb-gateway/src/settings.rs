//! Settings of the daemon, independent of the file format that they were read from.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use wb_allowance::Tolerance;
use wb_members::steering::Card;
use wb_settings::gateway::Options;

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub ready: Option<SocketAddr>,
    /// Directory queries of callers.
    pub directory: Option<SocketAddr>,
    /// Messages of other instances, over UDP and TCP.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Limits that the platform sets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bounds {
    /// Time from the first termination signal until the process is killed.
    pub grace: Duration,
    /// Retries and hedged attempts allowed, as a fraction of requests.
    pub ratio: f64,
    /// Retries and hedged attempts that each service may make in a window on top of the fraction.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
    /// Time after a server said that it leaves from which it must get no more requests.
    pub drain: Duration,
    /// Time after a change of the routes was accepted in which it must be in force.
    pub apply: Duration,
    /// Longest time that callers cache a directory answer.
    pub keep: Duration,
    /// By how much a team's requests may exceed its allowance.
    pub tolerance: Tolerance,
}

/// Settings of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Description of this instance, as other instances see it.
    pub card: Card,
    /// Listen addresses.
    pub listen: Listen,
    /// Peer addresses of instances that may be up, to start from while the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Limits that the platform sets.
    pub bounds: Bounds,
    /// Connections accepted at a time, for each listener.
    pub connections: usize,
    /// Memory for bodies that are buffered, in bytes.
    pub buffers: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Local address of connections to backend servers; the system chooses it if it is `None`.
    pub source: Option<IpAddr>,
    /// Options of operators.
    pub options: Options,
}
