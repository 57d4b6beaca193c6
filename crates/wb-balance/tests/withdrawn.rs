//! Requests that were assigned to a server, and the server takes no more before they are sent.

mod support;

use assert_matches::assert_matches;
use support::assignment_of;
use support::at;
use support::listed;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Decision;
use wb_balance::ListedServer;
use wb_balance::balancer::RefusalCause;
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

macro_rules! emptied_lists {
    ($($name:ident: $change:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut balancer = service(1, 1);
            assignment_of(balancer.admit(request(false, at(0)), at(0)));
            assert_matches!(balancer.admit(request(false, at(0)), at(0)), Decision::Wait(_));
            let change: fn(&mut Vec<ListedServer>) = $change;
            let mut list = vec![listed("s0", "a", 1)];
            change(&mut list);
            balancer.update(&list, at(100));
            let released = balancer.release_queued(at(100));
            assert_eq!(released.len(), 1);
            let refusal = assert_matches!(released[0].result, Err(refusal) => refusal);
            assert_eq!(refusal.cause, RefusalCause::NoServer);
        }
    )+};
}

emptied_lists! {
    queued_request_is_held_though_the_last_server_is_leaving: |list| list[0].server.lifecycle = Lifecycle::Leaving;
    queued_request_is_held_though_the_last_server_is_gone: |list| list.clear();
}
