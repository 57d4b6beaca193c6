//! Requests of an instance that is about to end, on virtual time.

mod support;

use assert_matches::assert_matches;
use support::USUAL;
use support::assignment_of;
use support::at;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::RequestInfo;
use wb_balance::balancer::RefusalCause;
use wb_balance::closing::Closing;

/// When the instance ends.
const END: u64 = 5000;
/// Ratio of the duration of some requests to the usual one, by the users' sheets: three in a hundred.
const LONG: u32 = 7;
/// Largest such ratio in the sheets.
const LONGEST: u32 = 11;

/// A balancer that knows how long requests take, and ends.
fn closing(servers: usize, slots: u32) -> Balancer {
    let mut balancer = service(servers, slots);
    for _ in 0..50 {
        let assigned = assignment_of(balancer.admit(request(false, at(0)), at(0)));
        balancer.finish(
            assigned.key,
            "orders",
            AttemptOutcome::Success(USUAL),
            at(0),
        );
    }
    balancer.close(Closing {
        begin: at(0),
        end: at(END),
    });
    balancer
}

/// Latest time at which a request is still sent.
fn last_send() -> u64 {
    let sends = |millis: &u64| {
        let mut balancer = closing(2, 6);
        let now = at(*millis);
        matches!(balancer.admit(request(false, now), now), Decision::Send(_))
    };
    (0..END)
        .step_by(50)
        .filter(sends)
        .max()
        .expect("some are sent")
}

#[test]
fn request_that_can_not_be_answered_before_the_end_is_sent() {
    let last = at(last_send());
    assert!(last + USUAL * LONG <= at(END), "{last:?}");
    assert!(last + USUAL * LONGEST >= at(END), "{last:?} is too early");
}

macro_rules! late_requests {
    ($($name:ident: arrived $arrived:literal, deadline $deadline:literal => $admitted:literal;)+) => {$(
        #[test]
        fn $name() {
            let closing = Closing { begin: at(1000), end: at(60_000) };
            let now = at($arrived);
            let request = RequestInfo { deadline: at($deadline), ..request(false, now) };
            assert_eq!(closing.admits(&request, Some(USUAL), now), $admitted);
        }
    )+};
}

late_requests! {
    request_that_arrives_soon_after_the_signal_is_refused: arrived 3900, deadline 70_000 => true;
    request_that_arrives_late_and_may_outlast_the_instance_is_sent: arrived 4100, deadline 70_000 => false;
    request_that_arrives_late_and_ends_before_the_instance_is_refused: arrived 4100, deadline 59_000 => true;
}

#[test]
fn request_of_unknown_duration_that_may_outlast_the_instance_is_sent() {
    let mut balancer = service(2, 6);
    balancer.close(Closing {
        begin: at(0),
        end: at(END),
    });
    let unsure = RequestInfo {
        deadline: at(2 * END),
        ..request(false, at(0))
    };
    let sure = RequestInfo {
        deadline: at(END),
        ..unsure.clone()
    };
    assert_matches!(balancer.admit(unsure, at(0)), Decision::Refuse(_));
    assert_matches!(balancer.admit(sure, at(0)), Decision::Send(_));
}

#[test]
fn request_that_ends_before_the_instance_is_refused() {
    let mut balancer = closing(2, 6);
    let now = at(END) - USUAL * 2;
    let mut request = request(false, now);
    request.deadline = at(END);
    assert_matches!(balancer.admit(request, now), Decision::Send(_));
}

#[test]
fn late_requests_are_not_refused_as_leaving() {
    let mut balancer = closing(2, 6);
    let now = at(END - 100);
    let first = assignment_of(closing(2, 6).admit(request(true, at(0)), at(0)));
    for decision in [
        balancer.admit(request(false, now), now),
        balancer.retry(request(false, now), now),
        balancer.reassign(request(false, now), now),
    ] {
        let refusal = assert_matches!(decision, Decision::Refuse(refusal) => refusal);
        assert_eq!(refusal.cause, RefusalCause::Leaving);
    }
    let mut hedged = request(true, now);
    hedged.tried = vec![first.key];
    assert_matches!(balancer.hedge(hedged, now), Decision::Refuse(_));
}

#[test]
fn queued_requests_are_held_until_the_end() {
    let mut balancer = closing(1, 1);
    let running = assignment_of(balancer.admit(request(false, at(1000)), at(1000)));
    assert_matches!(
        balancer.admit(request(false, at(1000)), at(1000)),
        Decision::Wait(_)
    );
    assert!(balancer.release_queued(at(2000)).is_empty());
    let late = at(last_send() + 100);
    let released = balancer.release_queued(late);
    assert_eq!(released.len(), 1);
    assert_matches!(
        released[0].result,
        Err(refusal) if refusal.cause == RefusalCause::Leaving
    );
    balancer.finish(running.key, "orders", AttemptOutcome::Success(USUAL), late);
    assert!(balancer.release_queued(late).is_empty());
}
