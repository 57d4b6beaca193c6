//! Queueing: which requests wait, in which order they leave, and which are refused at once.

mod support;

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use support::USUAL;
use support::assignment_of;
use support::at;
use support::prove;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Decision;
use wb_balance::RequestInfo;
use wb_balance::ServerKey;
use wb_balance::WaitKey;
use wb_balance::balancer::RefusalCause;

/// A balancer with one server whose two slots are taken.
fn full_balancer() -> (wb_balance::Balancer, Vec<ServerKey>) {
    let mut balancer = service(1, 2);
    prove(&mut balancer, 1, at(0));
    let slots = (0..2)
        .map(|_| assignment_of(balancer.admit(request(false, at(0)), at(0))).key)
        .collect();
    (balancer, slots)
}

fn wait_key(decision: Decision) -> WaitKey {
    match decision {
        Decision::Wait(key) => key,
        other => panic!("expected to wait, got {other:?}"),
    }
}

#[test]
fn freed_slot_goes_to_the_higher_priority() {
    let (mut balancer, slots) = full_balancer();
    let mut low = request(false, at(1));
    low.priority = 2;
    let _low = wait_key(balancer.admit(low, at(1)));
    let high = wait_key(balancer.admit(request(false, at(2)), at(2)));
    balancer.finish(slots[0], "orders", AttemptOutcome::Success(USUAL), at(10));
    let released = balancer.release_queued(at(10));
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].key, high);
}

#[test]
fn request_within_its_target_latency_goes_before_a_late_one() {
    let (mut balancer, slots) = full_balancer();
    let _late = wait_key(balancer.admit(request(false, at(1)), at(1)));
    let recent = wait_key(balancer.admit(request(false, at(1900)), at(1900)));
    balancer.finish(slots[0], "orders", AttemptOutcome::Success(USUAL), at(2000));
    let released = balancer.release_queued(at(2000));
    assert_eq!(released[0].key, recent);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let (mut balancer, _) = full_balancer();
    let mut short = request(false, at(1));
    short.deadline = at(200);
    let decision = balancer.admit(short, at(1));
    assert_matches!(decision, Decision::Refuse(refusal) if refusal.cause == RefusalCause::NoRoom);
}

#[test]
fn full_queue_refuses_with_a_retry_time() {
    let (mut balancer, _) = full_balancer();
    let mut after = None;
    for _ in 0..200 {
        if let Decision::Refuse(refusal) = balancer.admit(request(false, at(1)), at(1)) {
            assert_eq!(refusal.cause, RefusalCause::NoRoom);
            after = Some(refusal.retry_after);
        }
    }
    // Two slots at 0.3 s a request serve some 65 requests in ten seconds.
    let queued = balancer.queued_count();
    assert!((40..=70).contains(&queued), "{queued} wait");
    assert!(after.expect("some are refused") >= Duration::from_millis(200));
}

#[test]
fn queued_request_is_refused_near_its_deadline() {
    let (mut balancer, _) = full_balancer();
    let mut short = request(false, at(1));
    short.deadline = at(1000);
    let key = wait_key(balancer.admit(short, at(1)));
    assert!(balancer.release_queued(at(500)).is_empty());
    let released = balancer.release_queued(at(950));
    assert_eq!(released[0].key, key);
    assert_matches!(&released[0].result, Err(refusal) if refusal.cause == RefusalCause::Deadline);
}

#[test]
fn cancelled_request_takes_no_slot() {
    let (mut balancer, slots) = full_balancer();
    let key = wait_key(balancer.admit(request(false, at(1)), at(1)));
    balancer.cancel(key);
    balancer.finish(slots[0], "orders", AttemptOutcome::Success(USUAL), at(10));
    assert!(balancer.release_queued(at(10)).is_empty());
}

#[test]
fn new_request_does_not_pass_queued_ones() {
    let (mut balancer, slots) = full_balancer();
    let first = wait_key(balancer.admit(request(false, at(1)), at(1)));
    balancer.finish(slots[0], "orders", AttemptOutcome::Success(USUAL), at(10));
    assert_matches!(
        balancer.admit(request(false, at(11)), at(11)),
        Decision::Wait(_)
    );
    assert_eq!(balancer.release_queued(at(11))[0].key, first);
}

#[test]
fn hedged_send_is_never_queued() {
    let (mut balancer, _) = full_balancer();
    assert_matches!(
        balancer.hedge(request(true, at(1)), at(1)),
        Decision::Refuse(_)
    );
    assert_eq!(balancer.queued_count(), 0);
}

/// Time of a check of a queue of this length for free slots, at many servers that are full. The
/// shortest of several, since others may use the processor.
fn check_time(length: usize) -> Duration {
    let mut balancer = service(120, 1);
    for _ in 0..120 {
        assignment_of(balancer.admit(request(false, at(0)), at(0)));
    }
    for index in 0..length {
        let patient = RequestInfo {
            target_latency: Duration::from_secs(90),
            deadline: at(100_000),
            ..request(index % 2 == 0, at(0))
        };
        wait_key(balancer.admit(patient, at(0)));
    }
    let checks = (0..20).map(|_| {
        let begin = Instant::now();
        assert!(balancer.release_queued(at(1)).is_empty());
        begin.elapsed()
    });
    checks.min().expect("there are checks")
}

#[test]
fn long_queue_takes_as_many_searches_as_it_has_requests() {
    let (short, long) = (check_time(4), check_time(200));
    assert!(
        long < short * 20,
        "{short:?} for 4 requests, {long:?} for 200"
    );
}
