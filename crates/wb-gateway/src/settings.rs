//! Settings of the daemon, whatever file they were read from.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use wb_members::steering::Card;

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's question whether the instance is ready.
    pub ready: Option<SocketAddr>,
    /// For callers' question which addresses to use.
    pub directory: Option<SocketAddr>,
    /// For other instances, over UDP and TCP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the platform sets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bounds {
    /// Time from the first signal to stop until the process is killed.
    pub grace: Duration,
    /// Sends to a second server, as a share of requests.
    pub ratio: f64,
    /// Sends to a second server that are free in each window, for each service.
    pub reserve: f64,
    /// Length of that window.
    pub window: Duration,
    /// Longest time that callers keep an answer of the directory.
    pub keep: Duration,
}

/// Settings of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// What the instance says of itself.
    pub card: Card,
    /// Addresses.
    pub listen: Listen,
    /// Addresses for other instances of some that may be up, for a start without the platform.
    pub seeds: Vec<SocketAddr>,
    /// Bounds.
    pub bounds: Bounds,
    /// Connections of callers at a time.
    pub connections: usize,
}
