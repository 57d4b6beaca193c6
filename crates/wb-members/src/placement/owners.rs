//! Owners of backend servers.

use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::roster::Instance;
use wb_types::roster::Server;

use super::hash::weight;

/// Who owns a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The server.
    pub server: ServerName,
    /// The home that opens connections to it.
    pub home: InstanceName,
}

/// Slots that a home has been given.
struct Load<'a> {
    home: &'a Instance,
    slots: u32,
}

/// Gives each server of a service an owner among its homes: the one of highest weight in the
/// server's failure domain, or in all if the domain has none, of those whose slots stay within
/// an even part.
pub fn owners(servers: &[Server], homes: &[Instance]) -> Vec<Owner> {
    if homes.is_empty() {
        return Vec::new();
    }
    let mut loads: Vec<Load<'_>> = homes.iter().map(|home| Load { home, slots: 0 }).collect();
    let mut sorted: Vec<&Server> = servers.iter().collect();
    // Servers without a home in their domain come last, so that they move no others.
    sorted.sort_by_key(|server| (!has_near(server, homes), server.name.clone()));
    let mut owners = Vec::new();
    for server in &sorted {
        let part = even_part(&sorted, homes, server);
        let load = choose(server, &mut loads, part);
        load.slots += server.slots;
        owners.push(Owner {
            server: server.name.clone(),
            home: load.home.name.clone(),
        });
    }
    owners
}

/// Whether a server's owner is sought in its own failure domain.
fn has_near(server: &Server, homes: &[Instance]) -> bool {
    homes.iter().any(|home| home.domain == server.domain)
}

/// Slots that a home is given at most, as long as another has room.
fn even_part(servers: &[&Server], homes: &[Instance], server: &Server) -> u32 {
    let near = has_near(server, homes);
    let same = |domain: &str| !near || domain == &*server.domain;
    let total: u32 = servers
        .iter()
        .filter(|other| same(&other.domain))
        .map(|other| other.slots)
        .sum();
    let count = homes.iter().filter(|home| same(&home.domain)).count();
    total.div_ceil(count.max(1) as u32)
}

fn choose<'a, 'b>(server: &Server, loads: &'a mut [Load<'b>], part: u32) -> &'a mut Load<'b> {
    let near = loads.iter().any(|load| load.home.domain == server.domain);
    let score = |load: &Load<'_>| {
        let same = !near || load.home.domain == server.domain;
        let room = load.slots + server.slots <= part;
        let less = if room {
            u32::MAX
        } else {
            u32::MAX - 1 - load.slots
        };
        (same, less, weight(&server.name, &load.home.name))
    };
    let index = (0..loads.len())
        .max_by_key(|index| score(&loads[*index]))
        .expect("a service with owners has a home");
    &mut loads[index]
}
