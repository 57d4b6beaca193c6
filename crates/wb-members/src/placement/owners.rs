//! Owners of backend servers.

use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::rendezvous::weight;
use wb_types::roster::Instance;
use wb_types::roster::Server;

/// The owner of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The server.
    pub server: ServerName,
    /// The home that opens connections to it.
    pub home: InstanceName,
}

/// Slots that are assigned to a home.
struct AssignedLoad<'a> {
    home: &'a Instance,
    slots: u64,
}

/// Assigns each server of a service to an owner among its homes: the one of highest weight in the
/// server's failure domain, or in all domains if that one has no home, among those whose slots stay
/// within an even share.
pub fn owners(servers: &[Server], homes: &[Instance]) -> Vec<Owner> {
    if homes.is_empty() {
        return Vec::new();
    }
    let mut loads: Vec<AssignedLoad<'_>> = homes
        .iter()
        .map(|home| AssignedLoad { home, slots: 0 })
        .collect();
    let mut sorted: Vec<&Server> = servers.iter().collect();
    // Servers without a home in their domain come last, so that they do not move the owners of
    // others.
    sorted.sort_by_key(|server| (!has_home_in_domain(server, homes), server.name.clone()));
    let mut owners = Vec::new();
    for server in &sorted {
        let share = even_share(&sorted, homes, server);
        let load = choose(server, &mut loads, share);
        load.slots += u64::from(server.slots);
        owners.push(Owner {
            server: server.name.clone(),
            home: load.home.name.clone(),
        });
    }
    owners
}

/// Whether there is a home in the server's failure domain.
fn has_home_in_domain(server: &Server, homes: &[Instance]) -> bool {
    homes.iter().any(|home| home.domain == server.domain)
}

/// Most slots that a home is assigned while another one has room.
fn even_share(servers: &[&Server], homes: &[Instance], server: &Server) -> u64 {
    let in_domain = has_home_in_domain(server, homes);
    let same = |domain: &str| !in_domain || domain == &*server.domain;
    let total: u64 = servers
        .iter()
        .filter(|other| same(&other.domain))
        .map(|other| u64::from(other.slots))
        .sum();
    let count = homes.iter().filter(|home| same(&home.domain)).count();
    total.div_ceil(count.max(1) as u64)
}

fn choose<'a, 'b>(
    server: &Server,
    loads: &'a mut [AssignedLoad<'b>],
    share: u64,
) -> &'a mut AssignedLoad<'b> {
    let in_domain = loads.iter().any(|load| load.home.domain == server.domain);
    let score = |load: &AssignedLoad<'_>| {
        let same = !in_domain || load.home.domain == server.domain;
        let room = load.slots + u64::from(server.slots) <= share;
        let remaining = if room {
            u64::MAX
        } else {
            u64::MAX - 1 - load.slots
        };
        (same, remaining, weight(&server.name, &load.home.name))
    };
    let index = (0..loads.len())
        .max_by_key(|index| score(&loads[*index]))
        .expect("a service with owners has a home");
    &mut loads[index]
}
