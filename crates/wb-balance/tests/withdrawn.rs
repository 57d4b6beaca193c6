//! Requests that were assigned to a server, and the server takes no more before they are sent.

mod support;

use support::assignment_of;
use support::at;
use support::listed;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_types::roster::Lifecycle;

#[test]
fn request_that_is_still_connecting_is_sent_to_a_leaving_server() {
    let mut balancer = service(1, 6);
    let assigned = assignment_of(balancer.admit(request(false, at(0)), at(0)));
    assert!(balancer.may_send(assigned.key, at(50)));
    let mut leaving = listed("s0", "a", 6);
    leaving.server.lifecycle = Lifecycle::Leaving;
    balancer.update(&[leaving, listed("s1", "a", 6)], at(100));
    assert!(!balancer.may_send(assigned.key, at(100)));
    balancer.finish(
        assigned.key,
        "orders",
        AttemptOutcome::Inconclusive,
        at(110),
    );
    let again = assignment_of(balancer.reassign(request(false, at(0)), at(110)));
    assert_eq!(&*again.server.name, "s1");
    assert!(balancer.may_send(again.key, at(110)));
}

#[test]
fn request_that_is_still_connecting_is_sent_to_a_server_that_has_left() {
    let mut balancer = service(1, 6);
    let assigned = assignment_of(balancer.admit(request(false, at(0)), at(0)));
    balancer.update(&[listed("s1", "a", 6)], at(100));
    assert!(!balancer.may_send(assigned.key, at(100)));
}
