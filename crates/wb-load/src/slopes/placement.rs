//! Time to recompute the placement of all services, by numbers of instances and services.

use std::time::Instant;

use wb_members::placement::homes;
use wb_members::placement::owners;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Fleet sizes that are measured.
const FLEET_SIZES: [FleetSize; 4] = [
    FleetSize {
        instances: 40,
        services: 2,
    },
    FleetSize {
        instances: 150,
        services: 100,
    },
    FleetSize {
        instances: 300,
        services: 250,
    },
    FleetSize {
        instances: 450,
        services: 430,
    },
];
/// Servers of each service.
const SERVERS_PER_SERVICE: usize = 16;
/// Number of failure domains.
const DOMAIN_COUNT: usize = 7;

/// Numbers of instances and services of a fleet.
#[derive(Clone, Copy)]
struct FleetSize {
    instances: usize,
    services: usize,
}

pub(super) fn run() {
    println!("placement: instances, services, ms for all, mean homes per instance");
    for size in FLEET_SIZES {
        let live = instances(size.instances);
        let started = Instant::now();
        let mut home_count = 0;
        for index in 0..size.services {
            let homes = homes(&format!("service{index}"), &live, 1);
            home_count += homes.len();
            owners(&servers(index), &homes);
        }
        println!(
            "  {:>5} {:>5} {:>8.2} {:>6.1}",
            size.instances,
            size.services,
            started.elapsed().as_secs_f64() * 1e3,
            home_count as f64 / size.instances as f64
        );
    }
}

fn instances(count: usize) -> Vec<Instance> {
    let make = |index: usize| Instance {
        name: format!("entry{index:03}").into(),
        callers: "127.0.0.1:1".parse().expect("a valid address"),
        peers: "127.0.0.1:1".parse().expect("a valid address"),
        domain: format!("d{}", index % DOMAIN_COUNT).into(),
        lifecycle: Lifecycle::Live,
    };
    (0..count).map(make).collect()
}

fn servers(service: usize) -> Vec<Server> {
    let make = |index: usize| Server {
        name: format!("s{index:02}").into(),
        service: format!("service{service}").into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        domain: format!("d{}", index % DOMAIN_COUNT).into(),
        slots: 6,
        max_connections: 300,
        lifecycle: Lifecycle::Live,
    };
    (0..SERVERS_PER_SERVICE).map(make).collect()
}
