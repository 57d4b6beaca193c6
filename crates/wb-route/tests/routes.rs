//! Routes are found by host and longest prefix, and the shares of a split hold over short runs.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_route::Limits;
use wb_route::Repeat;
use wb_route::Route;
use wb_route::RouteTable;
use wb_route::WeightedService;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_secs(1),
        priority: 1,
        max_attempts: 2,
        services: vec![WeightedService {
            service: "registry".into(),
            weight: 1.0,
        }],
    }
}

fn table() -> RouteTable {
    let limits = Limits {
        head_bytes: 16384,
        body_bytes: 1 << 26,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let routes = vec![
        route("root", "a.example", "/"),
        route("short", "a.example", "/stock/"),
        route("long", "a.example", "/stock/rare/"),
        route("other", "b.example", "/stock/"),
    ];
    RouteTable::new(7, routes, BTreeMap::new(), limits)
}

macro_rules! lookup_tests {
    ($($name:ident: $host:expr, $path:expr => $want:expr;)+) => {
        $(#[test]
        fn $name() {
            let table = table();
            let found = table.find($host, $path).map(|route| route.name.to_string());
            let want: Option<&str> = $want;
            assert_eq!(found.as_deref(), want);
        })+
    };
}

lookup_tests! {
    longest_prefix_wins: "a.example", "/stock/rare/7" => Some("long");
    shorter_prefix: "a.example", "/stock/7" => Some("short");
    prefix_ends_at_a_slash: "a.example", "/stockpile" => Some("root");
    host_decides: "b.example", "/stock/rare/7" => Some("other");
    no_prefix: "b.example", "/7" => None;
    unknown_host: "c.example", "/stock/7" => None;
    host_with_port: "a.example:8080", "/stock/7" => Some("short");
    host_in_capitals: "A.Example", "/stock/7" => Some("short");
}

#[test]
fn shares_hold_over_short_runs() {
    let mut route = route("split", "a.example", "/");
    route.services = vec![
        WeightedService {
            service: "old".into(),
            weight: 90.0,
        },
        WeightedService {
            service: "new".into(),
            weight: 10.0,
        },
    ];
    for start in [0_u64, 12_345, u64::MAX - 40] {
        let run = (0..200).map(|n| {
            route
                .service_for(start.wrapping_add(n))
                .expect("the route has services")
        });
        let new = run.filter(|chosen| &*chosen.service == "new").count();
        assert!((18..=22).contains(&new), "{new} of 200 from {start}");
    }
}

#[test]
fn service_of_weight_zero_gets_no_requests() {
    let mut route = route("split", "a.example", "/");
    route.services.push(WeightedService {
        service: "off".into(),
        weight: 0.0,
    });
    assert!((0..500).all(|n| {
        &*route
            .service_for(n)
            .expect("the route has services")
            .service
            == "registry"
    }));
}
