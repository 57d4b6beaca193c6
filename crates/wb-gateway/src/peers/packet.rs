//! Datagrams between instances, in the postcard encoding.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_balance::Evidence;
use wb_balance::idle::ResetCause;
use wb_members::listing::ListVersion;
use wb_members::listing::Update;
use wb_members::steering::Card;
use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;

/// Largest datagram, in bytes: what fits into one packet of the network.
pub const SIZE_MAX: usize = 1400;

/// Requests that an instance has running, by service and server.
pub type Running = HashMap<ServiceName, HashMap<ServerName, u32>>;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// An instance is alive.
    Beat(Box<Beat>),
    /// What an instance has running.
    Running {
        /// Sender.
        from: InstanceName,
        /// Whether this is all, in place of what it said before, or only what has changed.
        whole: bool,
        /// Counts.
        running: Running,
        /// Servers that gave a whole answer since the last such packet.
        good: HashMap<ServiceName, Vec<ServerName>>,
    },
    /// Evidence on a backend server.
    Learnt {
        /// Sender.
        from: InstanceName,
        /// Service of the server.
        service: ServiceName,
        /// The server.
        server: ServerName,
        /// The evidence.
        evidence: Evidence,
    },
    /// Changes of the list of servers.
    Servers(Update),
    /// An instance leaves.
    Bye {
        /// Sender.
        from: InstanceName,
    },
    /// A connection was reset at its first use after a rest.
    Stale {
        /// Service of the server.
        service: ServiceName,
        /// What it was due to.
        cause: ResetCause,
    },
}

/// What a beat says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub card: Card,
    /// Whether the sender takes callers.
    pub home: bool,
    /// Whether the sender asks for a beat in return, since it has just started.
    pub hello: bool,
    /// Version of the routes that the sender holds; 0 for none.
    pub routes: TableVersion,
    /// Version of the list of servers that the sender holds.
    pub listing: ListVersion,
    /// Time since that list was confirmed to be complete.
    pub age: Duration,
    /// Candidates that the sender hears.
    pub candidates: Vec<InstanceName>,
}
