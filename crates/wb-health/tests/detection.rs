//! Detection and false alarms on virtual time.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_health::HealthMonitor;
use wb_health::Options;
use wb_health::Sample;
use wb_health::ServerKey;
use wb_health::monitor::Arrival;

const GOOD: Sample = Sample::Short(Duration::from_millis(20));

fn ward(servers: usize) -> (HealthMonitor, Vec<ServerKey>) {
    let mut ward = HealthMonitor::new(Options::default());
    ward.set_floor(50);
    let keys = (0..servers).map(|index| {
        ward.insert(
            format!("s{index}").into(),
            6,
            Arrival::Known,
            Duration::ZERO,
        )
    });
    let keys = keys.collect();
    (ward, keys)
}

/// Feeds one sample per server and turn, 5 turns a second; gives the turn at which the first
/// server was ejected.
fn turns_until_out(bad: impl Fn(usize) -> f64, turns: u32, seed: u64) -> Option<u32> {
    let (mut ward, keys) = ward(7);
    let mut rng = SmallRng::seed_from_u64(seed);
    for turn in 0..turns {
        let now = Duration::from_millis(200) * turn;
        for (index, key) in keys.iter().enumerate() {
            let sample = if rng.random::<f64>() < bad(index) {
                Sample::Bad
            } else {
                GOOD
            };
            ward.record(*key, sample, now);
        }
        if ward.state(keys[0]) == "ejected" {
            return Some(turn);
        }
    }
    None
}

#[test]
fn a_gray_server_is_found() {
    let turns: Vec<u32> = (0..100)
        .map(|seed| {
            let gray = |index| if index == 0 { 0.5 } else { 0.01 };
            turns_until_out(gray, 500, seed).expect("a gray server is ejected")
        })
        .collect();
    let late = turns.iter().filter(|turn| **turn > 25).count();
    assert!(
        late <= 1,
        "{late} of 100 took more than 25 samples: {turns:?}"
    );
}

/// Servers that are out after a service that was healthy, or new, turned bad as a whole.
fn out_of_a_bad_service(share: f64, healthy: u32, seed: u64) -> usize {
    let (mut ward, keys) = ward(7);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut out = 0;
    for turn in 0..2000 {
        let now = Duration::from_millis(200) * turn;
        let bad = if turn < healthy { 0.01 } else { share };
        for key in &keys {
            let sample = if rng.random::<f64>() < bad {
                Sample::Bad
            } else {
                GOOD
            };
            let change = ward.record(*key, sample, now);
            out += usize::from(change.is_some_and(|change| change.to == "ejected"));
        }
    }
    out
}

#[test]
fn a_service_that_is_bad_as_a_whole_loses_no_server() {
    for seed in 0..20 {
        for healthy in [0, 200] {
            for share in [0.2, 0.3, 0.5, 0.9] {
                let out = out_of_a_bad_service(share, healthy, seed);
                assert_eq!(out, 0, "share {share} after {healthy} turns, seed {seed}");
            }
        }
    }
}

#[test]
fn one_slow_server_is_told_from_a_slow_service() {
    let (mut ward, keys) = ward(7);
    let mut now = Duration::ZERO;
    for turn in 0..400 {
        now += Duration::from_millis(200);
        for (index, key) in keys.iter().enumerate() {
            let slow = index == 0 && turn > 100;
            let took = if slow { 400 } else { 40 };
            ward.record(*key, Sample::Short(Duration::from_millis(took)), now);
        }
    }
    assert_eq!(ward.state(keys[0]), "ejected");
    assert!(keys[1..].iter().all(|key| ward.state(*key) == "healthy"));
}

#[test]
fn a_server_comes_back_by_trial_and_a_relapse_lengthens_the_rest() {
    let (mut ward, keys) = ward(4);
    let mut now = Duration::ZERO;
    let sick = |ward: &mut HealthMonitor, now| {
        for _ in 0..20 {
            ward.record(keys[0], Sample::Bad, now);
        }
    };
    sick(&mut ward, now);
    assert_eq!(ward.state(keys[0]), "ejected");
    now += Duration::from_secs(5);
    ward.tick(now);
    assert_eq!(ward.state(keys[0]), "trial");
    assert!(!ward.is_serving(keys[0]) && ward.wants_copies(keys[0]));
    ward.record(keys[0], Sample::Bad, now);
    assert_eq!(ward.state(keys[0]), "ejected");
    now += Duration::from_secs(5);
    ward.tick(now);
    assert_eq!(
        ward.state(keys[0]),
        "ejected",
        "the second rest is twice as long"
    );
    now += Duration::from_secs(5);
    ward.tick(now);
    for _ in 0..10 {
        ward.record(keys[0], GOOD, now);
    }
    assert_eq!(ward.state(keys[0]), "healthy");
}
