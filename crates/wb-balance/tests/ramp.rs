//! Servers that failed and respond again, at services that get only requests which can't be sent again:
//! what clears them, and how many requests they get then.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::USUAL;
use support::assignment_of;
use support::at;
use support::prove;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_types::id::Moment;

const CUT: AttemptOutcome = AttemptOutcome::Failure(Evidence::Cut);

/// A balancer with one server, which is proven and then gets only requests that can't be sent again.
fn proven(slots: u32) -> Balancer {
    let mut balancer = service(1, slots);
    prove(&mut balancer, 1, at(0));
    for _ in 0..200 {
        end(&mut balancer, AttemptOutcome::Success(USUAL), at(0));
    }
    balancer
}

/// Sends a request and ends it at once.
fn end(balancer: &mut Balancer, outcome: AttemptOutcome, now: Moment) {
    let assignment = assignment_of(balancer.admit(request(false, now), now));
    balancer.finish(assignment.key, "orders", outcome, now);
}

/// Requests that were on the way when a server began to fail are answered; those sent now are not.
#[test]
fn response_to_a_request_from_before_the_failure_clears_no_suspect() {
    let mut balancer = proven(6);
    let sent: Vec<_> = (0..4)
        .map(|_| assignment_of(balancer.admit(request(false, at(0)), at(0))))
        .collect();
    end(&mut balancer, CUT, at(10));
    for assignment in sent {
        let outcome = AttemptOutcome::Success(Duration::from_millis(300));
        balancer.finish(assignment.key, "orders", outcome, at(300));
    }
    assert_eq!(balancer.suspect_count(), 1);
}

/// The queues of all instances would go to a server that a few responses have cleared.
#[test]
fn cleared_server_gets_more_requests_only_as_it_responds() {
    let mut balancer = proven(6);
    end(&mut balancer, CUT, at(10));
    for step in 1..=3 {
        let outcome = AttemptOutcome::Success(Duration::ZERO);
        end(&mut balancer, outcome, at(4_000 + step));
    }
    assert_eq!(balancer.suspect_count(), 0);
    let now = at(4_010);
    let first = assignment_of(balancer.admit(request(false, now), now));
    assignment_of(balancer.admit(request(false, now), now));
    assert_matches!(balancer.admit(request(false, now), now), Decision::Wait(_));
    let outcome = AttemptOutcome::Success(Duration::ZERO);
    balancer.finish(first.key, "orders", outcome, now);
    assert_eq!(balancer.release_queued(now).len(), 1);
}

/// A server that never failed takes as many requests at once as it has slots.
#[test]
fn server_without_failures_is_filled_at_once() {
    let mut balancer = proven(6);
    for _ in 0..6 {
        assignment_of(balancer.admit(request(false, at(10)), at(10)));
    }
}
