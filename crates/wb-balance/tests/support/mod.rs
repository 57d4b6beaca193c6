//! Servers, requests and a clock for tests of the decisions.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::time::Duration;

use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::Grant;
use wb_balance::ListedServer;
use wb_balance::Options;
use wb_balance::RequestInfo;
use wb_balance::RetryBudget;
use wb_balance::SendOutcome;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Usual duration of a request.
pub const USUAL: Duration = Duration::from_millis(300);

/// A moment in milliseconds.
pub fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// A listed server with so many slots.
pub fn listed(name: &str, domain: &str, slots: u32) -> ListedServer {
    ListedServer {
        server: Server {
            name: name.into(),
            service: "registry".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: domain.into(),
            slots,
            connections: 64,
            lifecycle: Lifecycle::Live,
        },
        warmup: Duration::ZERO,
    }
}

/// A service of so many servers in one failure domain.
pub fn service(servers: usize, slots: u32) -> Balancer {
    let options = Options {
        domain: "a".to_owned(),
        ..Options::default()
    };
    let budget = RetryBudget::new(0.2, 50.0, Duration::from_secs(10));
    let mut balancer = Balancer::new(options, budget);
    let list: Vec<ListedServer> = (0..servers)
        .map(|index| listed(&format!("s{index}"), "a", slots))
        .collect();
    balancer.update(&list, Moment::ZERO);
    balancer
}

/// A request that came at a moment, with ten seconds for its answer.
pub fn ask(idempotent: bool, now: Moment) -> RequestInfo {
    RequestInfo {
        route: "orders".into(),
        idempotent,
        sends_left: 2,
        priority: 1,
        arrived: now,
        target_latency: Duration::from_millis(1500),
        deadline: now + Duration::from_secs(10),
        tried: Vec::new(),
    }
}

/// The grant of an offer that goes at once.
pub fn go(offer: Decision) -> Box<Grant> {
    match offer {
        Decision::Send(grant) => grant,
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// Gives one whole answer of each server, so that all are proven.
pub fn prove(balancer: &mut Balancer, servers: usize, now: Moment) {
    for _ in 0..3 {
        let grants: Vec<_> = (0..servers)
            .map(|_| go(balancer.admit(ask(true, now), now)))
            .collect();
        for grant in grants {
            balancer.finish(grant.key, "orders", SendOutcome::Success(USUAL), now);
        }
    }
}

/// Cuts one request at a server that the balancer chooses; returns the server's name.
pub fn cut_one(balancer: &mut Balancer, now: Moment) -> String {
    let grant = go(balancer.admit(ask(false, now), now));
    balancer.finish(
        grant.key,
        "orders",
        SendOutcome::Failure(Evidence::Cut),
        now,
    );
    grant.server.name.to_string()
}
