//! Instances and backend servers as the platform lists them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::id::DomainName;
use crate::id::InstanceName;
use crate::id::ServerName;
use crate::id::ServiceName;

/// Lifecycle state of a listed process.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Lifecycle {
    /// In service.
    #[default]
    Live,
    /// Draining: finishes its requests and takes no new ones.
    Leaving,
}

/// An instance of the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: InstanceName,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for calls from other instances.
    pub peers: SocketAddr,
    /// Failure domain it runs in.
    pub domain: DomainName,
    /// Lifecycle state.
    #[serde(default)]
    #[serde(rename = "stay")]
    pub lifecycle: Lifecycle,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique within the service.
    pub name: ServerName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub domain: DomainName,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Maximum number of open connections.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Lifecycle state.
    #[serde(default)]
    #[serde(rename = "stay")]
    pub lifecycle: Lifecycle,
}

/// The platform's list of processes; it may lag behind the actual state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Roster {
    /// Instances of the fleet.
    pub instances: Vec<Instance>,
    /// Backend servers of all services.
    pub servers: Vec<Server>,
}
