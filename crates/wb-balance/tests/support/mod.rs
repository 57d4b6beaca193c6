//! Servers, requests and times for tests of the balancer.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod fleet;

use std::time::Duration;

use wb_balance::Assignment;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::ListedServer;
use wb_balance::Options;
use wb_balance::RequestInfo;
use wb_balance::RetryBudget;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Duration of a request.
pub const USUAL: Duration = Duration::from_millis(300);

/// A moment, in milliseconds.
pub fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// A listed server.
pub fn listed(name: &str, domain: &str, slots: u32) -> ListedServer {
    ListedServer {
        server: Server {
            name: name.into(),
            service: "registry".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: domain.into(),
            slots,
            max_connections: 64,
            lifecycle: Lifecycle::Live,
        },
        started: 1,
        warmup: Duration::ZERO,
    }
}

/// A balancer with servers in one failure domain.
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

/// A request that arrived at `now`, with ten seconds until its deadline.
pub fn request(idempotent: bool, now: Moment) -> RequestInfo {
    RequestInfo {
        route: "orders".into(),
        idempotent,
        attempts_left: 2,
        priority: 1,
        team: None,
        arrived: now,
        target_latency: Duration::from_millis(1500),
        deadline: now + Duration::from_secs(10),
        tried: Vec::new(),
        body: 0,
    }
}

/// The assignment of a request that is sent at once.
pub fn assignment_of(decision: Decision) -> Box<Assignment> {
    match decision {
        Decision::Send(assignment) => assignment,
        other => panic!("expected an assignment, got {other:?}"),
    }
}

/// Completes requests at each server, so that all are proven.
pub fn prove(balancer: &mut Balancer, servers: usize, now: Moment) {
    for _ in 0..3 {
        let assignments: Vec<_> = (0..servers)
            .map(|_| assignment_of(balancer.admit(request(true, now), now)))
            .collect();
        for assignment in assignments {
            balancer.finish(
                assignment.key,
                "orders",
                AttemptOutcome::Success(USUAL),
                now,
            );
        }
    }
}

/// Cuts the connection of a request at a server that the balancer chooses; returns the server's
/// name.
pub fn cut_request(balancer: &mut Balancer, now: Moment) -> String {
    let assignment = assignment_of(balancer.admit(request(false, now), now));
    balancer.finish(
        assignment.key,
        "orders",
        AttemptOutcome::Failure(Evidence::Cut),
        now,
    );
    assignment.server.name.to_string()
}
