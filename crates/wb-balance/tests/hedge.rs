//! Delay of hedged attempts at the latencies, targets and deadlines of the deployments.

use std::time::Duration;

use wb_balance::hedge::FirstAttempt;
use wb_balance::hedge::delay;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

macro_rules! delays {
    ($($name:ident: $typical:literal, $trial:literal, $target:literal, $deadline:literal => $delay:literal;)+) => {
        $(#[test]
        fn $name() {
            let first = FirstAttempt {
                typical: ms($typical),
                trial: $trial,
                until_target: ms($target),
                until_deadline: ms($deadline),
            };
            assert_eq!(delay(first).as_millis(), $delay);
        })+
    };
}

delays! {
    a_long_deadline_leaves_the_usual_delay: 300, false, 1500, 8000 => 600;
    a_short_target_comes_first: 70, false, 200, 500 => 123;
    a_target_that_is_missed_anyway_is_ignored: 210, false, 300, 1200 => 420;
    a_passed_target_is_ignored: 210, false, 0, 1200 => 420;
    a_short_deadline_leaves_room_for_the_second_attempt: 300, false, 0, 1000 => 400;
    a_deadline_without_room_waits_for_the_typical_latency: 300, false, 0, 500 => 300;
    a_trial_is_not_waited_for: 240, true, 600, 1200 => 300;
    short_requests_wait_for_a_few_round_trips: 3, false, 200, 500 => 30;
}
