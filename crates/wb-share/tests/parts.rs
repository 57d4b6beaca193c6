//! Parts of an amount: who has to leave what to whom.

use std::time::Duration;

use wb_share::Parts;
use wb_types::id::Moment;

const WINDOW: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn reserved(parts: &mut Parts<&'static str>, key: &'static str, now: Moment) -> f64 {
    parts.refresh(100.0, now);
    parts.reserved(&key, 1.0, now)
}

#[test]
fn single_user_may_take_all() {
    let mut parts = Parts::fading(WINDOW, PATIENCE);
    for taken in 0..100 {
        parts.ask(&"hot", 1.0, at(taken));
        assert_eq!(reserved(&mut parts, "hot", at(taken)), 0.0);
        parts.take(&"hot", 1.0, at(taken));
    }
}

#[test]
fn user_above_its_part_leaves_the_unused_parts_of_others() {
    let mut parts = Parts::returned(PATIENCE);
    parts.ask(&"hot", 1.0, at(0));
    parts.take(&"hot", 50.0, at(0));
    parts.ask(&"small", 3.0, at(0));
    let left = reserved(&mut parts, "hot", at(0));
    assert!((left - 0.75).abs() < 1e-9, "{left}");
    assert_eq!(reserved(&mut parts, "small", at(0)), 0.0);
}

#[test]
fn parts_of_those_who_no_longer_ask_are_free() {
    let mut parts = Parts::returned(PATIENCE);
    parts.ask(&"hot", 1.0, at(0));
    parts.take(&"hot", 50.0, at(0));
    parts.ask(&"small", 3.0, at(0));
    parts.ask(&"hot", 1.0, at(1500));
    assert_eq!(reserved(&mut parts, "hot", at(1500)), 0.0);
}

#[test]
fn use_of_a_window_fades_away() {
    let mut parts = Parts::fading(WINDOW, PATIENCE);
    parts.ask(&"hot", 1.0, at(0));
    parts.take(&"hot", 60.0, at(0));
    for millis in [0, 60_000] {
        parts.ask(&"hot", 1.0, at(millis));
        parts.ask(&"small", 1.0, at(millis));
        let reserved = reserved(&mut parts, "hot", at(millis));
        assert_eq!(reserved > 0.0, millis == 0, "at {millis}");
    }
}

#[test]
fn use_that_is_given_back_no_longer_counts() {
    let mut parts = Parts::returned(PATIENCE);
    parts.ask(&"hot", 1.0, at(0));
    parts.ask(&"small", 1.0, at(0));
    parts.take(&"hot", 60.0, at(0));
    assert!(reserved(&mut parts, "hot", at(0)) > 0.0);
    parts.give_back(&"hot", 60.0);
    assert_eq!(reserved(&mut parts, "hot", at(0)), 0.0);
}

#[test]
fn nothing_is_remembered_of_those_who_stopped_asking() {
    let mut parts = Parts::fading(WINDOW, PATIENCE);
    for team in 0..28_000u64 {
        let now = at(team * 10);
        parts.ask(&team, 1.0, now);
        parts.take(&team, 1.0, now);
        parts.refresh(100.0, now);
    }
    assert!(parts.count() <= 110, "{}", parts.count());
}
