//! Pauses that servers ask for when they turn a request away, on virtual time.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::USUAL;
use support::assignment_of;
use support::at;
use support::listed;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::RequestInfo;
use wb_balance::ServerKey;
use wb_balance::balancer::RefusalCause;
use wb_balance::pause;
use wb_balance::pause::Capacity;

macro_rules! parse_tests {
    ($($name:ident: $values:expr => $want:expr;)+) => {$(
        #[test]
        fn $name() {
            let values: &[&str] = &$values;
            let parsed = pause::parse(values.iter().copied());
            assert_eq!(parsed.ok(), $want.map(|pause: Option<u64>| pause.map(at)));
        }
    )+};
}

parse_tests! {
    absent: [] => Some(None);
    zero: ["0"] => Some(Some(0));
    whole: ["2"] => Some(Some(2000));
    fraction: [" 0.75 "] => Some(Some(750));
    twice: ["1", "3"] => Some(Some(3000));
    one_valid: ["later", "3"] => Some(Some(3000));
    huge: ["1e300"] => Some(Some(3_600_000));
    negative: ["-1"] => None;
    infinite: ["inf"] => None;
    not_a_number: ["NaN"] => None;
    empty: [""] => None;
    date: ["Fri, 04 Dec 2026 21:00:00 GMT"] => None;
}

/// Sheds a request at some server, with a pause. Returns the server.
fn shed(balancer: &mut Balancer, pause: Duration, now: Duration) -> ServerKey {
    let assigned = assignment_of(balancer.admit(request(false, now), now));
    balancer.finish(assigned.key, "orders", AttemptOutcome::Shed, now);
    balancer.pause(assigned.key, pause, now);
    assigned.key
}

/// Requests that reach a server within a time, if each that is sent ends at once.
fn sends_to(balancer: &mut Balancer, server: ServerKey, from: u64, to: u64) -> usize {
    let mut sends = 0;
    for millis in (from..to).step_by(10) {
        let now = at(millis);
        for idempotent in [false, true] {
            let info = RequestInfo {
                deadline: now + USUAL,
                ..request(idempotent, now)
            };
            let mut keys = Vec::new();
            for decision in [balancer.admit(info.clone(), now), balancer.hedge(info, now)] {
                if let Decision::Send(assigned) = decision {
                    keys.push(assigned.key);
                }
            }
            let released = balancer.release_queued(now).into_iter();
            keys.extend(released.filter_map(|one| Some(one.result.ok()?.key)));
            for key in keys {
                sends += usize::from(key == server);
                let outcome = AttemptOutcome::Success(at(10));
                balancer.finish(key, "orders", outcome, now);
            }
        }
    }
    sends
}

#[test]
fn server_that_wants_a_pause_is_sent_requests() {
    for servers in [1, 2, 10] {
        let mut balancer = service(servers, 6);
        let server = shed(&mut balancer, at(2000), at(0));
        assert_eq!(sends_to(&mut balancer, server, 0, 2000), 0, "{servers}");
        assert!(sends_to(&mut balancer, server, 2000, 4000) > 0, "{servers}");
    }
}

#[test]
fn shorter_pause_ends_a_longer_one() {
    let mut balancer = service(1, 6);
    let server = shed(&mut balancer, at(3000), at(0));
    assert!(!balancer.pause(server, at(500), at(100)));
    assert_eq!(sends_to(&mut balancer, server, 100, 3000), 0);
}

#[test]
fn request_that_is_still_connecting_is_sent_to_a_paused_server() {
    let mut balancer = service(1, 6);
    let assigned = assignment_of(balancer.admit(request(false, at(0)), at(0)));
    shed(&mut balancer, at(2000), at(10));
    assert!(!balancer.may_send(assigned.key, at(20)));
    assert!(balancer.may_send(assigned.key, at(2010)));
}

#[test]
fn server_that_wants_a_pause_is_suspect() {
    let mut balancer = service(4, 6);
    shed(&mut balancer, at(2000), at(0));
    assert_eq!(balancer.suspect_count(), 0);
    assert_eq!(balancer.paused_count(at(100)), 1);
    assert_eq!(balancer.paused_count(at(2000)), 0);
}

#[test]
fn request_is_held_though_all_servers_pause_beyond_its_deadline() {
    let mut balancer = service(2, 6);
    shed(&mut balancer, at(4000), at(0));
    shed(&mut balancer, at(4000), at(0));
    let hopeless = RequestInfo {
        deadline: at(2000),
        ..request(false, at(10))
    };
    let decision = balancer.admit(hopeless, at(10));
    let refusal = assert_matches!(decision, Decision::Refuse(refusal) => refusal);
    assert_eq!(refusal.cause, RefusalCause::NoRoom);
    assert!(refusal.retry_after >= at(1900), "{:?}", refusal.retry_after);
}

#[test]
fn request_is_refused_though_a_pause_ends_in_time() {
    let mut balancer = service(2, 6);
    shed(&mut balancer, at(400), at(0));
    shed(&mut balancer, at(400), at(0));
    assert_matches!(
        balancer.admit(request(false, at(10)), at(10)),
        Decision::Wait(_)
    );
    let released = balancer.release_queued(at(400));
    assert_eq!(released.len(), 1);
    assert!(released[0].result.is_ok());
}

#[test]
fn queued_requests_are_held_when_the_last_server_wants_a_pause() {
    let mut balancer = service(1, 1);
    let first = assignment_of(balancer.admit(request(false, at(0)), at(0)));
    let queued = RequestInfo {
        deadline: at(3000),
        ..request(false, at(0))
    };
    assert_matches!(balancer.admit(queued, at(0)), Decision::Wait(_));
    balancer.finish(first.key, "orders", AttemptOutcome::Shed, at(50));
    balancer.pause(first.key, at(5000), at(50));
    let released = balancer.release_queued(at(60));
    assert_eq!(released.len(), 1);
    assert_matches!(released[0].result, Err(_));
}

/// Requests that reach a server in its pause of two seconds, if its row is missing for a while and then
/// names this address.
fn sends_after_missing_row(address: &str) -> usize {
    let mut balancer = service(1, 6);
    shed(&mut balancer, at(2000), at(0));
    balancer.update(&[], at(100));
    let mut again = listed("s0", "a", 6);
    again.server.address = address.parse().expect("an address");
    balancer.update(&[again], at(200));
    let sends = |millis: &u64| {
        let now = at(*millis);
        let decision = balancer.admit(request(false, now), now);
        matches!(decision, Decision::Send(_))
    };
    (200..2000).step_by(300).filter(sends).count()
}

#[test]
fn server_whose_row_was_missing_is_sent_requests_in_its_pause() {
    let address = listed("s0", "a", 6).server.address.to_string();
    assert_eq!(sends_after_missing_row(&address), 0);
    assert_ne!(sends_after_missing_row("10.0.0.2:80"), 0);
}

macro_rules! wait_tests {
    ($($name:ident: $ahead:expr, $capacities:expr => $want:expr;)+) => {$(
        #[test]
        fn $name() {
            let capacities: &[(u64, f64)] = &$capacities;
            let mut capacities: Vec<Capacity> = capacities
                .iter()
                .map(|(from, rate)| Capacity { from: at(*from), rate: *rate })
                .collect();
            let wait = pause::wait_for($ahead, &mut capacities, at(1000));
            assert_eq!(wait, $want.map(at));
        }
    )+};
}

wait_tests! {
    without_servers: 1.0, [] => None::<u64>;
    all_available: 5.0, [(0, 5.0), (900, 5.0)] => Some(500);
    all_paused: 5.0, [(2000, 10.0), (2000, 10.0)] => Some(1250);
    served_before_the_pause_ends: 5.0, [(0, 10.0), (3000, 90.0)] => Some(500);
    served_after_a_pause_ends: 20.0, [(2000, 10.0), (0, 10.0)] => Some(1500);
    nothing_allowed: 1.0, [(0, 0.0), (0, 0.0)] => None::<u64>;
    allowed_after_a_pause: 1.0, [(0, 0.0), (1500, 10.0)] => Some(600);
}
