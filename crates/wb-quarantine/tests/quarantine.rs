//! Evidence on requests that crash servers, on virtual time.

use std::time::Duration;

use wb_quarantine::Options;
use wb_quarantine::Quarantine;
use wb_quarantine::Standing;
use wb_types::id::Moment;
use wb_types::id::RequestKey;

const KEY: RequestKey = 7;
/// Time that a request takes at a server.
const RUN: Duration = Duration::from_millis(60);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// Lets servers end one after the other, at these times in milliseconds, while they have the request.
fn crash_all(quarantine: &mut Quarantine, key: RequestKey, times: &[u64]) {
    for (index, time) in times.iter().enumerate() {
        let server = format!("server-{index}").into();
        let now = at(*time);
        quarantine.record_crash(key, &server, 1, now - RUN, now);
    }
}

macro_rules! counts {
    ($($name:ident: $crashes:expr, answered $answered:expr => $want:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut quarantine = Quarantine::default();
            let crashes: &[u64] = &$crashes;
            let answered: Option<u64> = $answered;
            let (before, after): (Vec<u64>, Vec<u64>) =
                crashes.iter().partition(|time| answered.is_some_and(|answered| **time < answered));
            crash_all(&mut quarantine, KEY, &before);
            if let Some(answered) = answered {
                quarantine.record_answer(KEY, at(answered));
            }
            for (index, time) in after.iter().enumerate() {
                let server = format!("later-{index}").into();
                quarantine.record_crash(KEY, &server, 1, at(*time) - RUN, at(*time));
            }
            assert_eq!(quarantine.standing(KEY, at(20_000)).crashes(), $want);
        }
    )+};
}

counts! {
    no_crash: [], answered None => 0;
    two_crashes: [1000, 5000], answered None => 2;
    crashes_at_once_of_a_request_that_was_never_answered: [1000, 1001, 1002], answered None => 3;
    an_answer_clears: [1000, 5000], answered Some(6000) => 0;
    crashes_after_an_answer: [1000, 5000, 7000], answered Some(6000) => 1;
    servers_that_fall_together_count_once_after_an_answer: [5000, 5001, 5002, 5003], answered Some(900) => 1;
    servers_that_fall_one_after_the_other_count_after_an_answer: [5000, 5100, 5200], answered Some(900) => 3;
}

#[test]
fn one_process_counts_once_whatever_it_ran() {
    let mut quarantine = Quarantine::default();
    let server = "server".into();
    for time in [1000, 1001, 1002] {
        quarantine.record_crash(KEY, &server, 1, at(900), at(time));
    }
    assert_eq!(quarantine.standing(KEY, at(2000)).crashes(), 1);
    quarantine.record_crash(KEY, &server, 2, at(4900), at(5000));
    assert_eq!(quarantine.standing(KEY, at(6000)).crashes(), 2);
}

#[test]
fn hold_ends_and_doubles_with_the_next_crash() {
    let mut quarantine = Quarantine::default();
    crash_all(&mut quarantine, KEY, &[1000, 2000, 3000]);
    let hold = Options::default().hold;
    assert_eq!(
        quarantine.standing(KEY, at(4000)),
        Standing::Held {
            crashes: 3,
            remaining: hold - at(1000)
        }
    );
    let over = at(3000) + hold;
    assert_eq!(
        quarantine.standing(KEY, over),
        Standing::Suspect { crashes: 3 }
    );
    quarantine.record_crash(KEY, &"another".into(), 1, over, over);
    assert_eq!(
        quarantine.standing(KEY, over),
        Standing::Held {
            crashes: 4,
            remaining: hold * 2
        }
    );
    quarantine.record_answer(KEY, over + hold * 2);
    assert_eq!(quarantine.standing(KEY, over + hold * 2), Standing::Clear);
}

#[test]
fn requests_that_ran_beside_a_held_one_are_held_for_its_crashes() {
    let mut quarantine = Quarantine::default();
    // All three run at the servers that the first of them ends, two of them at three servers.
    crash_all(&mut quarantine, 1, &[1000, 2000, 3000, 4000]);
    crash_all(&mut quarantine, 2, &[1000, 2000, 3000]);
    crash_all(&mut quarantine, 3, &[1000]);
    assert!(quarantine.standing(1, at(5000)).is_held());
    assert_eq!(quarantine.standing(2, at(5000)), Standing::Clear);
    assert_eq!(quarantine.standing(3, at(5000)), Standing::Clear);
    // Crashes of its own still count.
    quarantine.record_crash(3, &"another".into(), 1, at(4000), at(5000));
    assert_eq!(
        quarantine.standing(3, at(5000)),
        Standing::Suspect { crashes: 1 }
    );
}

#[test]
fn reports_that_are_lost_doubled_or_late_lead_to_another_belief() {
    let mut one = Quarantine::default();
    let mut two = Quarantine::default();
    crash_all(&mut one, KEY, &[1000]);
    let first = one.report(KEY, at(1000)).expect("a crash is known");
    one.record_crash(KEY, &"b".into(), 1, at(1500), at(2000));
    one.record_crash(KEY, &"c".into(), 1, at(2500), at(3000));
    let last = one.report(KEY, at(3000)).expect("crashes are known");
    // The second report is lost, the third is doubled and overtakes the first.
    for report in [&last, &last, &first] {
        two.merge(report, at(3010));
    }
    assert!(two.standing(KEY, at(3010)).is_held());
    two.record_answer(KEY, at(4000));
    one.merge(
        &two.report(KEY, at(4000)).expect("an answer is known"),
        at(4010),
    );
    assert_eq!(one.standing(KEY, at(4010)), Standing::Clear);
    // A report from before the answer, seconds late, as after a freeze.
    two.merge(&last, at(9000));
    assert_eq!(two.standing(KEY, at(9000)), Standing::Clear);
}

#[test]
fn instance_that_starts_believes_less_than_the_others() {
    let mut old = Quarantine::default();
    old.record_answer(KEY, at(100_000));
    crash_all(&mut old, KEY, &[200_000, 210_000, 220_000]);
    let mut new = Quarantine::default();
    new.merge(
        &old.report(KEY, at(300_000)).expect("crashes are known"),
        at(10),
    );
    assert_eq!(new.standing(KEY, at(10)), old.standing(KEY, at(300_000)));
}

#[test]
fn many_requests_take_more_memory_than_allowed() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options);
    crash_all(&mut quarantine, KEY, &[1000, 2000, 3000]);
    for key in 1000..10_000 {
        quarantine.record_crash(key, &"server".into(), key as u64, at(9000), at(9000));
        quarantine.record_answer(key + 100_000, at(9000));
    }
    let reports = quarantine.reports(None, usize::MAX, at(9000));
    assert_eq!(reports.len(), options.keys_max);
    assert!(quarantine.standing(KEY, at(9000)).is_held());
    quarantine.expire(at(9001) + options.memory);
    assert!(
        quarantine
            .reports(None, usize::MAX, at(9001) + options.memory)
            .is_empty()
    );
}
