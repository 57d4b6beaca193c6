//! Time of placing all services anew, by instances and services.

use std::time::Instant;

use wb_members::placement::homes;
use wb_members::placement::owners;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Sizes of fleets.
const SIZES: [Size; 4] = [
    Size {
        instances: 40,
        services: 2,
    },
    Size {
        instances: 150,
        services: 100,
    },
    Size {
        instances: 300,
        services: 250,
    },
    Size {
        instances: 450,
        services: 430,
    },
];
/// Servers of each service.
const SERVERS: usize = 16;
/// Failure domains.
const DOMAINS: usize = 7;

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    instances: usize,
    services: usize,
}

pub(super) fn run() {
    println!("placement: instances, services, ms for all, mean homes per instance");
    for size in SIZES {
        let live = instances(size.instances);
        let began = Instant::now();
        let mut roles = 0;
        for index in 0..size.services {
            let homes = homes(&format!("service{index}"), &live, 1);
            roles += homes.len();
            owners(&servers(index), &homes);
        }
        println!(
            "  {:>5} {:>5} {:>8.2} {:>6.1}",
            size.instances,
            size.services,
            began.elapsed().as_secs_f64() * 1e3,
            roles as f64 / size.instances as f64
        );
    }
}

fn instances(count: usize) -> Vec<Instance> {
    let make = |index: usize| Instance {
        name: format!("entry{index:03}").into(),
        callers: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:1".parse().expect("an address"),
        domain: format!("d{}", index % DOMAINS).into(),
        lifecycle: Lifecycle::Live,
    };
    (0..count).map(make).collect()
}

fn servers(service: usize) -> Vec<Server> {
    let make = |index: usize| Server {
        name: format!("s{index:02}").into(),
        service: format!("service{service}").into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: format!("d{}", index % DOMAINS).into(),
        slots: 6,
        connections: 300,
        lifecycle: Lifecycle::Live,
    };
    (0..SERVERS).map(make).collect()
}
