//! Ejections never reduce the serving capacity below the floor: random histories against a naive
//! checker.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wb_health::Evidence;
use wb_health::HealthMonitor;
use wb_health::Options;
use wb_health::ServerKey;
use wb_health::floor::Capacity;
use wb_health::floor::holds_without;
use wb_health::monitor::Arrival;

/// One event of a random history.
#[derive(Clone, Debug)]
enum Step {
    Good(usize),
    Bad(usize),
    Leave(usize),
    Stay(usize),
    Join(Arrival),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8usize).prop_map(Step::Good),
        12 => (0..8usize).prop_map(Step::Bad),
        1 => (0..8usize).prop_map(Step::Leave),
        1 => (0..8usize).prop_map(Step::Stay),
        1 => Just(Step::Join(Arrival::Cold)),
        1 => Just(Step::Join(Arrival::TakenOver)),
        3 => (1..4000u64).prop_map(Step::Pass),
    ]
}

/// A server in the naive checker.
#[derive(Clone, Copy, Debug)]
struct NaiveServer {
    key: ServerKey,
    slots: u32,
    leaving: bool,
    counts_from: Duration,
}

fn in_rotation(monitor: &HealthMonitor, key: ServerKey) -> bool {
    matches!(monitor.state(key), "healthy" | "suspect")
}

/// Slots that serve, and slots that must serve, over the servers that count for the floor.
fn count(
    monitor: &HealthMonitor,
    servers: &[NaiveServer],
    floor: u32,
    now: Duration,
) -> (u32, u32) {
    let counted = servers.iter().filter(|server| server.counts_from <= now);
    let total: u32 = counted.clone().map(|server| server.slots).sum();
    let serving = counted.filter(|server| !server.leaving && in_rotation(monitor, server.key));
    (
        serving.map(|server| server.slots).sum(),
        (total * floor).div_ceil(100),
    )
}

fn run(floor: u32, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut monitor = HealthMonitor::new(Options::default());
    monitor.set_floor(floor);
    let mut now = Duration::ZERO;
    let mut servers = Vec::new();
    for index in 0..4u32 {
        let slots = 3 + index;
        let key = monitor.insert(format!("s{index}").into(), slots, Arrival::Known, now);
        servers.push(NaiveServer {
            key,
            slots,
            leaving: false,
            counts_from: now,
        });
    }
    for step in steps {
        let before = count(&monitor, &servers, floor, now);
        let pick = |index: &usize| index % servers.len();
        match step {
            Step::Good(index) => {
                let evidence = Evidence::Short(Duration::from_millis(10));
                let change = monitor.record(servers[pick(index)].key, evidence, now);
                check(&monitor, &servers, floor, now, before, change.is_some())?;
            }
            Step::Bad(index) => {
                let change = monitor.record(servers[pick(index)].key, Evidence::Failed, now);
                check(&monitor, &servers, floor, now, before, change.is_some())?;
            }
            Step::Leave(index) => {
                let index = pick(index);
                servers[index].leaving = true;
                monitor.set_leaving(servers[index].key, true);
            }
            Step::Stay(index) => {
                let index = pick(index);
                servers[index].leaving = false;
                monitor.set_leaving(servers[index].key, false);
            }
            Step::Join(arrival) => {
                let name = format!("s{}", servers.len());
                let key = monitor.insert(name.into(), 4, *arrival, now);
                servers.push(NaiveServer {
                    key,
                    slots: 4,
                    leaving: false,
                    counts_from: now + Duration::from_secs(5),
                });
            }
            Step::Pass(millis) => {
                now += Duration::from_millis(*millis);
                monitor.tick(now);
                let (serving, needed) = count(&monitor, &servers, floor, now);
                let spare = servers.iter().any(|server| {
                    server.counts_from <= now
                        && !server.leaving
                        && !in_rotation(&monitor, server.key)
                });
                prop_assert!(serving >= needed || !spare, "an ejected server stayed out");
            }
        }
    }
    Ok(())
}

/// After a result, the serving capacity may have fallen to the floor at most.
fn check(
    monitor: &HealthMonitor,
    servers: &[NaiveServer],
    floor: u32,
    now: Duration,
    before: (u32, u32),
    changed: bool,
) -> Result<(), TestCaseError> {
    let (serving, needed) = count(monitor, servers, floor, now);
    let fell = serving < before.0;
    prop_assert!(
        !fell || serving >= needed,
        "fell to {serving} below {needed}"
    );
    prop_assert!(!fell || changed, "capacity fell without a reported change");
    Ok(())
}

macro_rules! floor_tests {
    ($($name:ident: $floor:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let config = Config { cases: 400, ..Config::default() };
                let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
                let mut runner = TestRunner::new_with_rng(config, rng);
                let steps = proptest::collection::vec(step(), 0..300);
                runner.run(&steps, |steps| run($floor, &steps)).expect("the floor holds");
            }
        )*
    };
}

floor_tests! {
    holds_at_0_percent: 0,
    holds_at_50_percent: 50,
    holds_at_67_percent: 67,
    holds_at_100_percent: 100,
}

/// Instances with conflicting views of who owns a server each keep the floor over the servers that
/// they own, so the servers in rotation at any instance keep the floor of the service.
#[test]
fn floor_holds_with_conflicting_views() {
    let now = Duration::ZERO;
    let mut first = HealthMonitor::new(Options::default());
    let mut second = HealthMonitor::new(Options::default());
    first.set_floor(50);
    second.set_floor(50);
    let insert = |monitor: &mut HealthMonitor, name: &str, arrival| {
        monitor.insert(name.into(), 6, arrival, now)
    };
    let a1 = insert(&mut first, "s1", Arrival::Known);
    let a2 = insert(&mut first, "s2", Arrival::Known);
    let b2 = insert(&mut second, "s2", Arrival::TakenOver);
    let b3 = insert(&mut second, "s3", Arrival::Known);
    for _ in 0..100 {
        first.record(a1, Evidence::Failed, now);
        second.record(b3, Evidence::Failed, now);
    }
    let ejected = [
        !in_rotation(&first, a1),
        !in_rotation(&first, a2) && !in_rotation(&second, b2),
        !in_rotation(&second, b3),
    ];
    assert!(
        ejected.iter().filter(|ejected| **ejected).count() <= 1,
        "{ejected:?}"
    );
}

#[test]
fn slots_beyond_32_bits_leave_no_capacity() {
    let huge = Capacity {
        slots: u32::MAX,
        serving: true,
    };
    assert!(holds_without(&[huge, huge], 50, 1));
}
