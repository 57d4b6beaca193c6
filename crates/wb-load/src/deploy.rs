//! Deployment files.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;

use eyre::Context;
use serde::Deserialize;
use serde::Serialize;
use wb_types::id::DomainName;
use wb_types::id::ServiceName;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Roster;
use wb_types::roster::Server;

// Offsets from the deployment's `base_port`; a plural name is the first port of a range.
const PEER_PORTS: u16 = 200;
const OPERATOR_PORTS: u16 = 400;
const PLATFORM_PORT: u16 = 600;
const BACKEND_CONTROL_PORT: u16 = 601;
const RELAY_CONTROL_PORT: u16 = 602;
const PLATFORM_LINK_PORT: u16 = 603;
const SERVER_PORTS: u16 = 700;
const CALLER_LINK_PORTS: u16 = 100;
const PEER_LINK_PORTS: u16 = 300;
const SERVER_LINK_PORTS: u16 = 850;

/// Layout of a fleet on this machine, as read from `deploy.yaml`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Failure domains; instances and servers are spread over them round-robin.
    pub domains: Vec<DomainName>,
    /// First port; all other ports are offsets from it.
    pub base_port: u16,
    /// Services with their backend servers.
    pub services: Vec<ServiceDeployment>,
}

/// Backend servers of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeployment {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of backend servers.
    pub servers: usize,
    /// Concurrency slots of each server.
    pub slots: u32,
    /// Maximum number of connections to each server.
    #[serde(rename = "connections")]
    pub max_connections: u32,
}

/// A roster whose addresses point at relay links, which can be cut.
pub struct LinkedRoster {
    /// Roster with the listen addresses of the links.
    pub roster: Roster,
    /// Links as `listen=target`, in the order of their indexes.
    pub links: Vec<String>,
}

/// Returns a loopback address.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Deployment {
    /// Reads a deployment file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or is malformed.
    pub fn read(file: &Path) -> eyre::Result<Self> {
        let name = file.display();
        let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{name}"))?;
        marked_yaml::from_yaml(0, &text).wrap_err_with(|| format!("{name} is malformed"))
    }

    /// Returns the address of the platform stand-in.
    pub fn platform_address(&self) -> SocketAddr {
        loopback(self.base_port + PLATFORM_PORT)
    }

    /// Returns the control address of the backend stand-in.
    pub fn backend_control(&self) -> SocketAddr {
        loopback(self.base_port + BACKEND_CONTROL_PORT)
    }

    /// Returns the operators' address of an instance.
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        loopback(self.base_port + OPERATOR_PORTS + index as u16)
    }

    /// Returns the roster row of an instance.
    pub fn instance(&self, index: usize) -> Instance {
        Instance {
            name: format!("entry{index:02}").into(),
            callers: loopback(self.base_port + index as u16),
            peers: loopback(self.base_port + PEER_PORTS + index as u16),
            domain: self.domains[index % self.domains.len()].clone(),
            lifecycle: Lifecycle::Live,
        }
    }

    /// Returns the platform's roster with the given number of instances.
    pub fn roster(&self, entries: usize) -> Roster {
        let mut servers = Vec::new();
        for service in &self.services {
            for index in 0..service.servers {
                let port = self.base_port + SERVER_PORTS + servers.len() as u16;
                servers.push(Server {
                    name: format!("s{index:02}").into(),
                    service: service.name.clone(),
                    address: loopback(port),
                    domain: self.domains[index % self.domains.len()].clone(),
                    slots: service.slots,
                    max_connections: service.max_connections,
                    lifecycle: Lifecycle::Live,
                });
            }
        }
        Roster {
            instances: (0..entries).map(|index| self.instance(index)).collect(),
            servers,
        }
    }

    /// Returns the control address of the relay.
    pub fn relay_control(&self) -> SocketAddr {
        loopback(self.base_port + RELAY_CONTROL_PORT)
    }

    /// Returns the listen address of the link to the platform.
    pub fn platform_link_address(&self) -> SocketAddr {
        loopback(self.base_port + PLATFORM_LINK_PORT)
    }

    /// Puts every address of a roster behind a link. The links are ordered: callers' and peers'
    /// address of each instance, then the backend servers, then the platform.
    pub fn with_links(&self, roster: &Roster) -> LinkedRoster {
        let mut linked = roster.clone();
        let mut links = Vec::new();
        let mut link = |port: u16, target: &mut SocketAddr| {
            let listen = loopback(self.base_port + port);
            links.push(format!("{listen}={target}"));
            *target = listen;
        };
        for (index, instance) in linked.instances.iter_mut().enumerate() {
            link(CALLER_LINK_PORTS + index as u16, &mut instance.callers);
            link(PEER_LINK_PORTS + index as u16, &mut instance.peers);
        }
        for (index, server) in linked.servers.iter_mut().enumerate() {
            link(SERVER_LINK_PORTS + index as u16, &mut server.address);
        }
        link(PLATFORM_LINK_PORT, &mut self.platform_address());
        LinkedRoster {
            roster: linked,
            links,
        }
    }

    /// Returns the number of slots of all servers of a service.
    pub fn total_slots(&self, service: &str) -> u32 {
        let services = self.services.iter();
        services
            .filter(|candidate| &*candidate.name == service)
            .map(|found| found.slots * found.servers as u32)
            .sum()
    }
}
