//! The retry budget holds in every window.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::assignment_of;
use support::at;
use support::request;
use support::service;
use wb_balance::Decision;
use wb_balance::RetryBudget;
use wb_balance::balancer::RefusalCause;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const RESERVE: f64 = 20.0;

/// Number of requests in a second of a run, by the index of the second.
type Load = fn(u64) -> u64;

/// Simulates a load in which each request asks for two further sends, and checks every window.
fn simulate(load: Load) {
    let mut budget = RetryBudget::new(RATIO, RESERVE, WINDOW);
    let mut sends: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for second in 0..60 {
        let count = load(second);
        for index in 0..count {
            let now = at(second * 1000 + index * 1000 / count);
            budget.record_request(now);
            requests.push(now);
            for _ in 0..2 {
                if budget.try_spend(0.0, now) {
                    sends.push(now);
                }
            }
        }
    }
    for (index, start) in sends.iter().enumerate() {
        let end = *start + WINDOW;
        let sent = sends[index..].iter().take_while(|at| **at < end).count() as f64;
        // The fleet's users check the limit against the requests of this window, of the one before
        // it, or of the one half a window earlier.
        let all = |from: Duration| {
            let to = from + WINDOW;
            requests
                .iter()
                .filter(|at| **at >= from && **at < to)
                .count() as f64
        };
        let most = all(*start)
            .max(all(start.saturating_sub(WINDOW)))
            .max(all(start.saturating_sub(WINDOW / 2)));
        assert!(
            sent <= RATIO * most + RESERVE + 1.0,
            "{sent} from {start:?}"
        );
    }
    assert!(!sends.is_empty());
}

macro_rules! holds {
    ($($name:ident: $load:expr;)+) => {
        $(#[test]
        fn $name() {
            simulate($load);
        })+
    };
}

holds! {
    steady_load: |_| 50;
    load_peak: |second| if (20..25).contains(&second) { 300 } else { 30 };
    load_that_ends: |second| if second < 30 { 200 } else { 3 };
    oscillating_load: |second| 40 + 35 * (second / 7 % 2);
}

#[test]
fn lower_priority_leaves_part_of_the_budget() {
    let mut balancer = service(50, 6);
    let mut high = request(false, at(0));
    high.priority = 1;
    balancer.admit(high.clone(), at(0));
    let mut low = request(true, at(0));
    low.priority = 2;
    let refused = |decision| matches!(decision, Decision::Refuse(refusal) if refusal.cause == RefusalCause::RetryBudget);
    let mut granted = 0;
    while !refused(balancer.retry(low.clone(), at(1))) {
        granted += 1;
    }
    assert!(granted > 10);
    assert_matches!(balancer.retry(high, at(1)), Decision::Send(_));
}

#[test]
fn a_hedged_send_without_a_free_slot_leaves_the_budget_alone() {
    let mut balancer = service(1, 1);
    let assignment = assignment_of(balancer.admit(request(true, at(0)), at(0)));
    let mut hedged = request(true, at(0));
    hedged.tried.push(assignment.key);
    let before = balancer.retry_budget().remaining(at(1));
    for _ in 0..20 {
        let decision = balancer.hedge(hedged.clone(), at(1));
        assert_matches!(decision, Decision::Refuse(refusal) if refusal.cause == RefusalCause::NoRoom);
    }
    assert_eq!(balancer.retry_budget().remaining(at(1)), before);
}
