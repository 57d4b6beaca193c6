//! What makes a server suspect, and what clears it.

use std::time::Duration;

use wb_balance::Evidence;
use wb_balance::FailureDetector;
use wb_types::id::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn detector_after(evidence: &[Evidence]) -> FailureDetector {
    let mut detector = FailureDetector::default();
    for (index, one) in evidence.iter().enumerate() {
        detector.record(*one, SECOND * index as u32);
    }
    detector
}

macro_rules! suspicion {
    ($($name:ident: [$($evidence:ident),*] => $suspect:expr;)+) => {
        $(#[test]
        fn $name() {
            let detector = detector_after(&[$(Evidence::$evidence),*]);
            assert_eq!(detector.is_suspect(), $suspect);
        })+
    };
}

suspicion! {
    new_server_is_not_suspect: [] => false;
    one_cut_makes_suspect: [Good, Good, Cut] => true;
    failed_connect_makes_suspect: [Good, Unreachable] => true;
    one_failure_is_tolerated: [Good, Failed] => false;
    two_failures_in_a_row_make_suspect: [Failed, Failed] => true;
    failures_far_apart_are_tolerated: [Failed, Good, Good, Good, Good, Failed] => false;
    one_overdue_is_tolerated: [Good, Overdue] => false;
    two_overdue_in_a_row_make_suspect: [Overdue, Overdue] => true;
    two_successes_do_not_clear: [Cut, Good, Good] => true;
    three_successes_clear: [Cut, Good, Good, Good] => false;
    failed_trial_resets_the_progress: [Cut, Good, Good, Cut, Good, Good] => true;
    overdue_requests_that_end_well_are_no_failures: [Overdue, Late, Overdue, Late, Overdue] => false;
    overdue_requests_that_end_well_clear: [Overdue, Overdue, Late, Late] => false;
    a_late_response_does_not_clear_a_server_that_cuts: [Cut, Overdue, Late] => true;
    reported_trials_do_not_make_suspect: [TrialFailed, TrialFailed, TrialFailed] => false;
}

#[test]
fn peers_do_not_clear_own_suspicion() {
    let mut detector = detector_after(&[Evidence::Cut]);
    for _ in 0..10 {
        detector.record_peer(Evidence::Good, SECOND);
    }
    assert!(
        detector.is_suspect(),
        "the path may be cut for this instance alone"
    );
}

#[test]
fn peers_clear_suspicion_from_peers() {
    let mut detector = FailureDetector::default();
    detector.record_peer(Evidence::Cut, SECOND);
    assert!(detector.is_suspect());
    for _ in 0..3 {
        detector.record_peer(Evidence::Good, SECOND);
    }
    assert!(!detector.is_suspect());
}

#[test]
fn unreachable_reported_by_a_peer_is_tolerated() {
    let mut detector = FailureDetector::default();
    detector.record_peer(Evidence::Unreachable, SECOND);
    assert!(!detector.is_suspect());
    detector.record(Evidence::Unreachable, SECOND);
    assert!(detector.is_suspect());
}

#[test]
fn trial_delays_grow_up_to_two_seconds() {
    let mut detector = detector_after(&[Evidence::Cut]);
    let mut last = Moment::ZERO;
    let mut delays = Vec::new();
    for _ in 0..12 {
        let due = detector.next_trial();
        assert!(!detector.is_trial_due(due - Duration::from_millis(1)));
        assert!(detector.is_trial_due(due));
        delays.push(due - last);
        last = due;
        detector.record(Evidence::Cut, due);
    }
    assert!(delays[0] < Duration::from_millis(500));
    assert!(delays.iter().all(|delay| *delay <= SECOND * 2));
    assert!(delays.is_sorted());
}

#[test]
fn a_suspect_without_evidence_is_cleared_in_time() {
    let mut detector = detector_after(&[Evidence::Cut]);
    let step = Duration::from_millis(300);
    let cleared = (1..100).find(|_| detector.decay(step));
    let after = step * cleared.expect("it is cleared");
    assert!((SECOND * 6..SECOND * 12).contains(&after), "{after:?}");
    assert!(!detector.is_suspect());
}

#[test]
fn a_suspect_whose_trials_fail_stays_suspect() {
    let mut own = detector_after(&[Evidence::Cut]);
    let mut reported = FailureDetector::default();
    reported.record_peer(Evidence::Cut, SECOND);
    for second in 2..60 {
        own.record(Evidence::Cut, SECOND * second);
        reported.record_peer(Evidence::TrialFailed, SECOND * second);
        assert!(!own.decay(SECOND));
        assert!(!reported.decay(SECOND));
    }
}

#[test]
fn one_trial_at_a_time() {
    let mut detector = detector_after(&[Evidence::Cut]);
    detector.set_in_trial(true);
    assert!(!detector.is_trial_due(SECOND * 60));
}

#[test]
fn mostly_failing_server_is_rarely_cleared_by_chance() {
    // It fails six in seven of its requests, in a fixed pseudo-random order.
    let mut detector = detector_after(&[Evidence::Cut]);
    let mut seed = 7_u64;
    let mut cleared = 0;
    for step in 0..7000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let good = (seed >> 33).is_multiple_of(7);
        let evidence = if good { Evidence::Good } else { Evidence::Cut };
        let was_suspect = detector.is_suspect();
        detector.record(evidence, SECOND * step);
        if was_suspect && !detector.is_suspect() {
            cleared += 1;
        }
    }
    // Three responses in a row come once in 343 trials.
    assert!(cleared <= 7000 / 343 * 2, "cleared {cleared} times");
}

#[test]
fn reports_of_a_peer_without_a_path_to_the_server_stay() {
    let mut proven = detector_after(&[Evidence::Good]);
    proven.record_peer(Evidence::Cut, SECOND);
    assert!(proven.is_suspect());
    proven.retract_peer_evidence(SECOND);
    assert!(!proven.is_suspect());
    // This instance has seen it fail itself, or has not heard from it for long.
    let mut failing = detector_after(&[Evidence::Good, Evidence::Cut]);
    failing.retract_peer_evidence(SECOND);
    assert!(failing.is_suspect());
    let mut unproven = detector_after(&[Evidence::Good]);
    unproven.record_peer(Evidence::Cut, SECOND * 5);
    unproven.retract_peer_evidence(SECOND * 5);
    assert!(unproven.is_suspect());
}

#[test]
fn evidence_of_an_instance_without_a_path_to_the_server_stays() {
    let mut detector = detector_after(&[Evidence::Unreachable, Evidence::Unreachable]);
    detector.retract_evidence();
    assert!(!detector.is_suspect());
    assert!(detector.score() == 0.0);
}
