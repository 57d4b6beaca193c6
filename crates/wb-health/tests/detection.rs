//! Detection of failing servers and false ejections, on virtual time.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_health::Evidence;
use wb_health::HealthMonitor;
use wb_health::Options;
use wb_health::ServerKey;
use wb_health::monitor::Arrival;

const GOOD: Evidence = Evidence::Short(Duration::from_millis(20));

fn monitor(servers: usize) -> (HealthMonitor, Vec<ServerKey>) {
    let mut monitor = HealthMonitor::new(Options::default());
    monitor.set_floor(50);
    let keys = (0..servers).map(|index| {
        monitor.insert(
            format!("s{index}").into(),
            6,
            Arrival::Known,
            Duration::ZERO,
        )
    });
    let keys = keys.collect();
    (monitor, keys)
}

/// Records one result per server and turn, 5 turns a second. Returns the turn at which the first
/// server was ejected.
fn turns_until_ejected(bad: impl Fn(usize) -> f64, turns: u32, seed: u64) -> Option<u32> {
    let (mut monitor, keys) = monitor(7);
    let mut rng = SmallRng::seed_from_u64(seed);
    for turn in 0..turns {
        let now = Duration::from_millis(200) * turn;
        for (index, key) in keys.iter().enumerate() {
            let evidence = if rng.random::<f64>() < bad(index) {
                Evidence::Failed
            } else {
                GOOD
            };
            monitor.record(*key, evidence, now);
        }
        if monitor.state(keys[0]) == "ejected" {
            return Some(turn);
        }
    }
    None
}

#[test]
fn partially_failing_server_is_ejected() {
    let turns: Vec<u32> = (0..100)
        .map(|seed| {
            let failing = |index| if index == 0 { 0.5 } else { 0.01 };
            turns_until_ejected(failing, 500, seed).expect("a failing server is ejected")
        })
        .collect();
    let late = turns.iter().filter(|turn| **turn > 25).count();
    assert!(
        late <= 1,
        "{late} of 100 took more than 25 samples: {turns:?}"
    );
}

/// Number of ejections when all servers of a service begin to fail, after `healthy` good turns.
fn ejections_of_a_bad_service(share: f64, healthy: u32, seed: u64) -> usize {
    let (mut monitor, keys) = monitor(7);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ejected = 0;
    for turn in 0..2000 {
        let now = Duration::from_millis(200) * turn;
        let bad = if turn < healthy { 0.01 } else { share };
        for key in &keys {
            let evidence = if rng.random::<f64>() < bad {
                Evidence::Failed
            } else {
                GOOD
            };
            let change = monitor.record(*key, evidence, now);
            ejected += usize::from(change.is_some_and(|change| change.to == "ejected"));
        }
    }
    ejected
}

#[test]
fn no_server_is_ejected_when_the_whole_service_fails() {
    for seed in 0..20 {
        for healthy in [0, 200] {
            for share in [0.2, 0.3, 0.5, 0.9] {
                let ejected = ejections_of_a_bad_service(share, healthy, seed);
                assert_eq!(
                    ejected, 0,
                    "share {share} after {healthy} turns, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn only_the_slow_server_is_ejected() {
    let (mut monitor, keys) = monitor(7);
    let mut now = Duration::ZERO;
    for turn in 0..400 {
        now += Duration::from_millis(200);
        for (index, key) in keys.iter().enumerate() {
            let slow = index == 0 && turn > 100;
            let took = if slow { 400 } else { 40 };
            monitor.record(*key, Evidence::Short(Duration::from_millis(took)), now);
        }
    }
    assert_eq!(monitor.state(keys[0]), "ejected");
    assert!(keys[1..].iter().all(|key| monitor.state(*key) == "healthy"));
}

#[test]
fn server_returns_after_a_trial_and_a_relapse_doubles_the_ejection_time() {
    let (mut monitor, keys) = monitor(4);
    let mut now = Duration::ZERO;
    let fail = |monitor: &mut HealthMonitor, now| {
        for _ in 0..20 {
            monitor.record(keys[0], Evidence::Failed, now);
        }
    };
    fail(&mut monitor, now);
    assert_eq!(monitor.state(keys[0]), "ejected");
    now += Duration::from_secs(5);
    monitor.tick(now);
    assert_eq!(monitor.state(keys[0]), "trial");
    assert!(!monitor.is_serving(keys[0]) && monitor.wants_mirror(keys[0]));
    monitor.record(keys[0], Evidence::Failed, now);
    assert_eq!(monitor.state(keys[0]), "ejected");
    now += Duration::from_secs(5);
    monitor.tick(now);
    assert_eq!(
        monitor.state(keys[0]),
        "ejected",
        "the second ejection is twice as long"
    );
    now += Duration::from_secs(5);
    monitor.tick(now);
    for _ in 0..10 {
        monitor.record(keys[0], GOOD, now);
    }
    assert_eq!(monitor.state(keys[0]), "healthy");
}
