//! What makes a server suspect, and what clears it.

use std::time::Duration;

use wb_balance::Evidence;
use wb_balance::FailureDetector;
use wb_types::id::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn after(evidence: &[Evidence]) -> FailureDetector {
    let mut trust = FailureDetector::default();
    for (index, one) in evidence.iter().enumerate() {
        trust.record(*one, SECOND * index as u32);
    }
    trust
}

macro_rules! suspects {
    ($($name:ident: [$($evidence:ident),*] => $suspect:expr;)+) => {
        $(#[test]
        fn $name() {
            let trust = after(&[$(Evidence::$evidence),*]);
            assert_eq!(trust.is_suspect(), $suspect);
        })+
    };
}

suspects! {
    unknown_servers_are_in_use: [] => false;
    one_cut_convicts: [Good, Good, Cut] => true;
    no_connection_convicts: [Good, Unreachable] => true;
    one_failure_does_not: [Good, Failed] => false;
    two_failures_together_do: [Failed, Failed] => true;
    failures_far_apart_do_not: [Failed, Good, Good, Good, Good, Failed] => false;
    one_slow_answer_does_not: [Good, Overdue] => false;
    two_slow_answers_do: [Overdue, Overdue] => true;
    two_answers_do_not_clear: [Cut, Good, Good] => true;
    three_answers_clear: [Cut, Good, Good, Good] => false;
    a_failed_trial_starts_over: [Cut, Good, Good, Cut, Good, Good] => true;
    told_trials_convict_nobody: [TrialFailed, TrialFailed, TrialFailed] => false;
}

#[test]
fn others_clear_no_suspicion_of_the_own_path() {
    let mut trust = after(&[Evidence::Cut]);
    for _ in 0..10 {
        trust.record_peer(Evidence::Good, SECOND);
    }
    assert!(trust.is_suspect(), "the path from here may be cut alone");
}

#[test]
fn what_others_told_is_cleared_by_others() {
    let mut trust = FailureDetector::default();
    trust.record_peer(Evidence::Cut, SECOND);
    assert!(trust.is_suspect());
    for _ in 0..3 {
        trust.record_peer(Evidence::Good, SECOND);
    }
    assert!(!trust.is_suspect());
}

#[test]
fn one_instance_without_a_path_convicts_a_server_for_itself_alone() {
    let mut trust = FailureDetector::default();
    trust.record_peer(Evidence::Unreachable, SECOND);
    assert!(!trust.is_suspect());
    trust.record(Evidence::Unreachable, SECOND);
    assert!(trust.is_suspect());
}

#[test]
fn trials_come_soon_then_rarer_and_never_rarer_than_every_two_seconds() {
    let mut trust = after(&[Evidence::Cut]);
    let mut last = Moment::ZERO;
    let mut waits = Vec::new();
    for _ in 0..12 {
        let due = trust.next_trial();
        assert!(!trust.is_trial_due(due - Duration::from_millis(1)));
        assert!(trust.is_trial_due(due));
        waits.push(due - last);
        last = due;
        trust.record(Evidence::Cut, due);
    }
    assert!(waits[0] < Duration::from_millis(500));
    assert!(waits.iter().all(|wait| *wait <= SECOND * 2));
    assert!(waits.is_sorted());
}

#[test]
fn one_trial_at_a_time() {
    let mut trust = after(&[Evidence::Cut]);
    trust.set_in_trial(true);
    assert!(!trust.is_trial_due(SECOND * 60));
}

#[test]
fn a_server_that_mostly_fails_is_hardly_ever_cleared_by_chance() {
    // Fails six in seven of its requests, in a fixed pseudo-random order.
    let mut trust = after(&[Evidence::Cut]);
    let mut seed = 7_u64;
    let mut cleared = 0;
    for step in 0..7000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let good = (seed >> 33).is_multiple_of(7);
        let evidence = if good { Evidence::Good } else { Evidence::Cut };
        let was = trust.is_suspect();
        trust.record(evidence, SECOND * step);
        if was && !trust.is_suspect() {
            cleared += 1;
        }
    }
    // Three answers in a row come once in 343 trials.
    assert!(cleared <= 7000 / 343 * 2, "cleared {cleared} times");
}
