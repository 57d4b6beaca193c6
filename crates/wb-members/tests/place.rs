//! Homes and owners: distribution, balance and stability.

use wb_members::placement::homes;
use wb_members::placement::owners;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn instances(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|index| Instance {
            name: format!("entry{index:02}").into(),
            callers: "127.0.0.1:1".parse().expect("an address"),
            peers: "127.0.0.1:1".parse().expect("an address"),
            domain: DOMAINS[index % 3].into(),
            lifecycle: Lifecycle::Live,
        })
        .collect()
}

fn servers(count: usize) -> Vec<Server> {
    (0..count)
        .map(|index| Server {
            name: format!("s{index:02}").into(),
            service: "registry".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: DOMAINS[index % 3].into(),
            slots: 6,
            max_connections: 300,
            lifecycle: Lifecycle::Live,
        })
        .collect()
}

#[test]
fn each_domain_has_homes_that_own_its_servers() {
    let live = instances(40);
    let homes = homes("registry", &live, 2);
    assert_eq!(homes.len(), 6);
    for owner in owners(&servers(20), &homes) {
        let server = servers(20)
            .into_iter()
            .find(|server| server.name == owner.server);
        let home = homes.iter().find(|home| home.name == owner.home);
        let (server, home) = (server.expect("known"), home.expect("a home"));
        assert_eq!(server.domain, home.domain);
    }
}

#[test]
fn loss_of_a_domain_moves_no_other_owners() {
    let live = instances(40);
    let before = owners(&servers(20), &homes("registry", &live, 2));
    let rest: Vec<Instance> = live.into_iter().filter(|one| &*one.domain != "a").collect();
    let after = owners(&servers(20), &homes("registry", &rest, 2));
    for old in &before {
        let index: usize = old.server[1..].parse().expect("names are numbered");
        if !index.is_multiple_of(3) {
            assert!(after.contains(old), "{old:?}");
        }
    }
}

#[test]
fn leaving_instance_moves_only_its_own_servers() {
    let live = instances(40);
    let set = homes("registry", &live, 1);
    let before = owners(&servers(20), &set);
    let gone = set[0].name.clone();
    let rest: Vec<Instance> = live.into_iter().filter(|one| one.name != gone).collect();
    let after = owners(&servers(20), &homes("registry", &rest, 1));
    let mut moved = before.iter().filter(|old| !after.contains(old));
    assert!(moved.all(|old| old.home == gone));
}

#[test]
fn homes_of_many_services_are_distributed_over_the_fleet() {
    let live = instances(40);
    let mut roles = std::collections::BTreeMap::new();
    for service in 0..430 {
        for home in homes(&format!("service-{service}"), &live, 1) {
            *roles.entry(home.name).or_insert(0u32) += 1;
        }
    }
    // 430 services with 3 homes on 40 instances: 32 roles per instance on average.
    assert_eq!(roles.len(), 40);
    assert!(roles.values().all(|count| *count < 64), "{roles:?}");
}

#[test]
fn slots_beyond_32_bits_leave_a_home_without_servers() {
    let live = instances(2);
    let mut servers = servers(4);
    for server in &mut servers {
        server.domain = "elsewhere".into();
        server.slots = u32::MAX;
    }
    let owners = owners(&servers, &live);
    for home in &live {
        let owned = owners.iter().filter(|owner| owner.home == home.name);
        assert_eq!(owned.count(), 2);
    }
}
