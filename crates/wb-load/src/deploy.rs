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

/// First port of each kind, from the deployment's base.
const PEERS: u16 = 200;
const OPERATORS: u16 = 400;
const PLATFORM: u16 = 600;
const CONTROL: u16 = 601;
const LINKS: u16 = 602;
const PLATFORM_LINK: u16 = 603;
const SERVERS: u16 = 700;
const CALLER_LINKS: u16 = 100;
const PEER_LINKS: u16 = 300;
const SERVER_LINKS: u16 = 850;

/// A deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// First port of the deployment.
    pub base_port: u16,
    /// Services.
    pub services: Vec<ServiceDeployment>,
}

/// Servers of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeployment {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Connections of each.
    pub connections: u32,
}

/// A list whose addresses lie behind links.
pub struct LinkedRoster {
    /// The list.
    pub roster: Roster,
    /// The links, as `listen=target`.
    pub links: Vec<String>,
}

/// An address on this machine.
fn local(port: u16) -> SocketAddr {
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

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        local(self.base_port + PLATFORM)
    }

    /// Control address of the backend servers.
    pub fn control(&self) -> SocketAddr {
        local(self.base_port + CONTROL)
    }

    /// Operators' address of an instance.
    pub fn operators(&self, index: usize) -> SocketAddr {
        local(self.base_port + OPERATORS + index as u16)
    }

    /// An instance.
    pub fn instance(&self, index: usize) -> Instance {
        Instance {
            name: format!("entry{index:02}").into(),
            callers: local(self.base_port + index as u16),
            peers: local(self.base_port + PEERS + index as u16),
            domain: self.domains[index % self.domains.len()].clone(),
            lifecycle: Lifecycle::Live,
        }
    }

    /// The platform's list with a number of instances.
    pub fn roster(&self, entries: usize) -> Roster {
        let mut servers = Vec::new();
        for service in &self.services {
            for index in 0..service.servers {
                let port = self.base_port + SERVERS + servers.len() as u16;
                servers.push(Server {
                    name: format!("s{index:02}").into(),
                    service: service.name.clone(),
                    address: local(port),
                    domain: self.domains[index % self.domains.len()].clone(),
                    slots: service.slots,
                    connections: service.connections,
                    lifecycle: Lifecycle::Live,
                });
            }
        }
        Roster {
            instances: (0..entries).map(|index| self.instance(index)).collect(),
            servers,
        }
    }

    /// Control address of the links.
    pub fn links(&self) -> SocketAddr {
        local(self.base_port + LINKS)
    }

    /// Address of the link to the platform.
    pub fn platform_link(&self) -> SocketAddr {
        local(self.base_port + PLATFORM_LINK)
    }

    /// The same list with every address behind a link, and the links: to each instance's callers'
    /// and peers' addresses in turn, then to the backend servers, then to the platform.
    pub fn linked(&self, roster: &Roster) -> LinkedRoster {
        let mut linked = roster.clone();
        let mut links = Vec::new();
        let mut link = |port: u16, target: &mut SocketAddr| {
            let listen = local(self.base_port + port);
            links.push(format!("{listen}={target}"));
            *target = listen;
        };
        for (index, instance) in linked.instances.iter_mut().enumerate() {
            link(CALLER_LINKS + index as u16, &mut instance.callers);
            link(PEER_LINKS + index as u16, &mut instance.peers);
        }
        for (index, server) in linked.servers.iter_mut().enumerate() {
            link(SERVER_LINKS + index as u16, &mut server.address);
        }
        link(PLATFORM_LINK, &mut self.platform());
        LinkedRoster {
            roster: linked,
            links,
        }
    }

    /// Total slots of a service.
    pub fn slots(&self, service: &str) -> u32 {
        let services = self.services.iter();
        services
            .filter(|known| &*known.name == service)
            .map(|known| known.slots * known.servers as u32)
            .sum()
    }
}
