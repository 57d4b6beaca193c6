//! The bound on further sends holds in every window.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::ask;
use support::at;
use support::service;
use wb_balance::Decision;
use wb_balance::RetryBudget;
use wb_balance::balancer::RefusalCause;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const RESERVE: f64 = 20.0;

/// Requests that come in a second of a run, by its number.
type Load = fn(u64) -> u64;

/// Plays a load in which each request asks for two further sends, and checks every window.
fn play(load: Load) {
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
    for (index, begin) in sends.iter().enumerate() {
        let end = *begin + WINDOW;
        let spent = sends[index..].iter().take_while(|at| **at < end).count() as f64;
        // The users count the requests of this window or of one up to a window before it.
        let all = |from: Duration| {
            let to = from + WINDOW;
            requests
                .iter()
                .filter(|at| **at >= from && **at < to)
                .count() as f64
        };
        let most = all(*begin)
            .max(all(begin.saturating_sub(WINDOW)))
            .max(all(begin.saturating_sub(WINDOW / 2)));
        assert!(
            spent <= RATIO * most + RESERVE + 1.0,
            "{spent} from {begin:?}"
        );
    }
    assert!(!sends.is_empty());
}

macro_rules! holds {
    ($($name:ident: $load:expr;)+) => {
        $(#[test]
        fn $name() {
            play($load);
        })+
    };
}

holds! {
    steady_load: |_| 50;
    a_crest: |second| if (20..25).contains(&second) { 300 } else { 30 };
    load_that_ends: |second| if second < 30 { 200 } else { 3 };
    waves: |second| 40 + 35 * (second / 7 % 2);
}

#[test]
fn work_of_a_lower_rank_leaves_some_of_the_allowance() {
    let mut balancer = service(50, 6);
    let mut high = ask(false, at(0));
    high.priority = 1;
    balancer.admit(high.clone(), at(0));
    let mut low = ask(true, at(0));
    low.priority = 2;
    let refused = |offer| matches!(offer, Decision::Refuse(refusal) if refusal.cause == RefusalCause::RetryBudget);
    let mut given = 0;
    while !refused(balancer.retry(low.clone(), at(1))) {
        given += 1;
    }
    assert!(given > 10);
    assert_matches!(balancer.retry(high, at(1)), Decision::Send(_));
}
