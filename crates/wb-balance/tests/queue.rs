//! Who waits, who goes first, and who is refused at once.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::USUAL;
use support::ask;
use support::at;
use support::go;
use support::prove;
use support::service;
use wb_balance::Decision;
use wb_balance::SendOutcome;
use wb_balance::ServerKey;
use wb_balance::WaitKey;
use wb_balance::balancer::RefusalCause;

/// A service of one server whose two slots are taken.
fn full() -> (wb_balance::Balancer, Vec<ServerKey>) {
    let mut balancer = service(1, 2);
    prove(&mut balancer, 1, at(0));
    let held = (0..2)
        .map(|_| go(balancer.admit(ask(false, at(0)), at(0))).key)
        .collect();
    (balancer, held)
}

fn wait(offer: Decision) -> WaitKey {
    match offer {
        Decision::Wait(key) => key,
        other => panic!("expected to wait, got {other:?}"),
    }
}

#[test]
fn a_freed_slot_goes_to_the_higher_rank() {
    let (mut balancer, held) = full();
    let mut low = ask(false, at(1));
    low.priority = 2;
    let _low = wait(balancer.admit(low, at(1)));
    let high = wait(balancer.admit(ask(false, at(2)), at(2)));
    balancer.finish(held[0], "orders", SendOutcome::Success(USUAL), at(10));
    let released = balancer.release_waiting(at(10));
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].key, high);
}

#[test]
fn work_that_can_still_be_in_time_goes_before_work_that_is_late() {
    let (mut balancer, held) = full();
    let _late = wait(balancer.admit(ask(false, at(1)), at(1)));
    let fresh = wait(balancer.admit(ask(false, at(1900)), at(1900)));
    balancer.finish(held[0], "orders", SendOutcome::Success(USUAL), at(2000));
    let released = balancer.release_waiting(at(2000));
    assert_eq!(released[0].key, fresh);
}

#[test]
fn a_request_that_cannot_be_served_before_its_deadline_is_refused_at_once() {
    let (mut balancer, _) = full();
    let mut short = ask(false, at(1));
    short.deadline = at(200);
    let offer = balancer.admit(short, at(1));
    assert_matches!(offer, Decision::Refuse(refusal) if refusal.cause == RefusalCause::NoRoom);
}

#[test]
fn a_long_queue_refuses_and_says_when_there_is_room() {
    let (mut balancer, _) = full();
    let mut after = None;
    for _ in 0..200 {
        if let Decision::Refuse(refusal) = balancer.admit(ask(false, at(1)), at(1)) {
            assert_eq!(refusal.cause, RefusalCause::NoRoom);
            after = Some(refusal.retry_after);
        }
    }
    // Two slots and 0.3 s a request carry some 65 requests in ten seconds.
    let waiting = balancer.waiting_count();
    assert!((40..=70).contains(&waiting), "{waiting} wait");
    assert!(after.expect("some are refused") >= Duration::from_millis(200));
}

#[test]
fn a_waiting_request_is_refused_when_its_time_is_over() {
    let (mut balancer, _) = full();
    let mut short = ask(false, at(1));
    short.deadline = at(1000);
    let key = wait(balancer.admit(short, at(1)));
    assert!(balancer.release_waiting(at(500)).is_empty());
    let released = balancer.release_waiting(at(950));
    assert_eq!(released[0].key, key);
    assert_matches!(&released[0].result, Err(refusal) if refusal.cause == RefusalCause::Deadline);
}

#[test]
fn a_request_whose_caller_left_takes_no_slot() {
    let (mut balancer, held) = full();
    let key = wait(balancer.admit(ask(false, at(1)), at(1)));
    balancer.cancel(key);
    balancer.finish(held[0], "orders", SendOutcome::Success(USUAL), at(10));
    assert!(balancer.release_waiting(at(10)).is_empty());
}

#[test]
fn a_newcomer_does_not_pass_those_that_wait() {
    let (mut balancer, held) = full();
    let first = wait(balancer.admit(ask(false, at(1)), at(1)));
    balancer.finish(held[0], "orders", SendOutcome::Success(USUAL), at(10));
    assert_matches!(
        balancer.admit(ask(false, at(11)), at(11)),
        Decision::Wait(_)
    );
    assert_eq!(balancer.release_waiting(at(11))[0].key, first);
}

#[test]
fn a_second_send_beside_a_slow_one_never_waits() {
    let (mut balancer, _) = full();
    assert_matches!(balancer.hedge(ask(true, at(1)), at(1)), Decision::Refuse(_));
    assert_eq!(balancer.waiting_count(), 0);
}
