//! Fair shares under overload, limits and bounds of the dispatcher, in virtual time. Where fairness
//! is tested, the bounds are such that first come, first served would miss them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_dispatch::DispatchPolicy;
use wb_dispatch::Dispatcher;
use wb_dispatch::Options;
use wb_dispatch::RequestKey;
use wb_dispatch::Verdict;
use wb_dispatch::policy::LocalPlacement;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;
use wb_types::request::QueuedRequest;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Slots of each server.
const SLOTS: u32 = 6;
/// Time that a short request takes.
const SHORT_TIME: Duration = Duration::from_millis(40);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(1);

fn row(class: &str, weight: u32, rate: f64) -> Row {
    Row {
        key: RowKey {
            service: "registry".into(),
            class: class.into(),
        },
        weight,
        rate,
        concurrency: 10_000,
        queue: 10_000,
        wait: Duration::from_millis(150),
        deadline: Duration::from_secs(5),
        floor: 50,
    }
}

fn server(index: usize) -> Server {
    Server {
        name: format!("s{index}").into(),
        service: "registry".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        slots: SLOTS,
        max_connections: 300,
        lifecycle: Lifecycle::Live,
    }
}

fn dispatch(rows: &[Row], servers: usize) -> Dispatcher {
    let mut dispatch = Dispatcher::new(Options {
        instance: "entry-1".into(),
        domain: "a".into(),
        service: "registry".into(),
        retry_ratio: 0.1,
        mirror_ratio: 0.1,
        health: wb_health::Options::default(),
        seed: 1,
    });
    dispatch.set_rows(rows, 1, 50);
    let placement = LocalPlacement {
        owned: (0..servers).map(server).collect(),
        other_homes: Vec::new(),
        instance_count: 1,
    };
    dispatch.set_placement(&placement, Duration::ZERO);
    dispatch
}

/// Requests of one caller and class.
#[derive(Clone, Copy)]
struct Demand {
    class: &'static str,
    caller: &'static str,
    per_second: f64,
    duration: ExpectedDuration,
    run_time: Duration,
}

fn short(class: &'static str, caller: &'static str, per_second: f64) -> Demand {
    Demand {
        class,
        caller,
        per_second,
        duration: ExpectedDuration::Short,
        run_time: SHORT_TIME,
    }
}

/// Results of one caller's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    run: u32,
    refused: u32,
    waited: Duration,
}

/// Runs the demands for a time and returns the results by caller.
fn run(dispatch: &mut Dispatcher, demands: &[Demand], time: Duration) -> BTreeMap<String, Served> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut served: BTreeMap<String, Served> = BTreeMap::new();
    let mut requests: BTreeMap<RequestKey, (String, Duration)> = BTreeMap::new();
    let mut ends: Vec<(Duration, RequestKey)> = Vec::new();
    let mut now = Duration::ZERO;
    let mut count = 0;
    while now < time {
        now += STEP;
        for demand in demands {
            let mut expected = demand.per_second * STEP.as_secs_f64();
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                count += 1;
                let key = dispatch.submit(request(demand, count, now), now);
                requests.insert(key, (demand.caller.to_owned(), demand.run_time));
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(end, _)| *end <= now);
        ends = running;
        for (_, key) in ended {
            dispatch.finish(key, AttemptOutcome::Success(SHORT_TIME), None, now);
        }
        dispatch.tick(now);
        for decision in dispatch.take_decisions() {
            let (caller, run_time) = requests
                .remove(&decision.key)
                .expect("a request is decided once");
            let served = served.entry(caller).or_default();
            if let Verdict::Run(_) = decision.verdict {
                served.run += 1;
                served.waited = served.waited.max(decision.trace.waited);
                ends.push((now + run_time, decision.key));
            } else {
                served.refused += 1;
                dispatch.finish(decision.key, AttemptOutcome::Inconclusive, None, now);
            }
        }
    }
    served
}

fn request(demand: &Demand, count: u32, now: Duration) -> QueuedRequest {
    QueuedRequest {
        id: format!("r{count}").into(),
        row: RowKey {
            service: "registry".into(),
            class: demand.class.into(),
        },
        caller: demand.caller.into(),
        idempotent: false,
        duration: demand.duration,
        deadline: now + Duration::from_secs(5),
        hops: 0,
        admitted: false,
    }
}

#[test]
fn classes_get_shares_by_weight_at_twice_the_capacity() {
    let rows = [
        row("relief", 5, 1e6),
        row("outfitters", 3, 1e6),
        row("herders", 2, 1e6),
    ];
    let mut dispatch = dispatch(&rows, 5);
    // 30 slots and 40 ms per request are 750 requests a second. Each class demands more than its
    // share.
    let demands = [
        short("relief", "a", 500.0),
        short("outfitters", "b", 500.0),
        short("herders", "c", 500.0),
    ];
    let served = run(&mut dispatch, &demands, Duration::from_secs(20));
    let total: u32 = served.values().map(|served| served.run).sum();
    assert!(
        f64::from(total) >= 0.95 * 750.0 * 20.0,
        "slots were left free: {total} requests ran"
    );
    for (caller, weight) in [("a", 0.5), ("b", 0.3), ("c", 0.2)] {
        let share = f64::from(served[caller].run) / f64::from(total);
        assert!((share - weight).abs() <= 0.05 * weight, "{caller}: {share}");
        assert!(served[caller].waited <= Duration::from_millis(150));
    }
}

#[test]
fn callers_of_a_class_get_equal_shares_whatever_their_demand() {
    let rows = [row("relief", 1, 1e6)];
    let mut dispatch = dispatch(&rows, 5);
    let demands = [
        short("relief", "greedy", 2000.0),
        short("relief", "modest", 300.0),
    ];
    let served = run(&mut dispatch, &demands, Duration::from_secs(10));
    let share = f64::from(served["modest"].run) / 3000.0;
    assert!(share >= 0.95, "{share} of the modest caller's requests ran");
    // First come, first served would serve both callers the same fraction: 750 of 2300.
    assert!(share > 2.0 * 750.0 / 2300.0);
}

#[test]
fn rate_limit_is_enforced() {
    let rows = [row("relief", 1, 100.0)];
    let mut dispatch = dispatch(&rows, 5);
    let served = run(
        &mut dispatch,
        &[short("relief", "a", 500.0)],
        Duration::from_secs(10),
    );
    let rate = f64::from(served["a"].run) / 10.0;
    assert!((95.0..=105.0).contains(&rate), "{rate} a second");
}

#[test]
fn long_requests_leave_slots_to_short_requests_and_still_run() {
    let rows = [row("relief", 1, 1e6), row("photos", 1, 1e6)];
    let mut dispatch = dispatch(&rows, 2);
    let long = Demand {
        class: "photos",
        caller: "inspector",
        per_second: 100.0,
        duration: ExpectedDuration::Long,
        run_time: Duration::from_secs(2),
    };
    let demands = [short("relief", "a", 100.0), long];
    let served = run(&mut dispatch, &demands, Duration::from_secs(20));
    assert_eq!(served["a"].refused, 0);
    assert!(
        served["a"].waited <= Duration::from_millis(60),
        "{:?}",
        served["a"].waited
    );
    // Half of the 12 slots, with 2 s per request.
    assert!(served["inspector"].run >= 50, "{}", served["inspector"].run);
}

#[test]
fn each_request_is_decided_once_and_no_slot_is_used_twice() {
    let rows = [row("relief", 1, 1e6)];
    let mut dispatch = dispatch(&rows, 3);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut running: Vec<RequestKey> = Vec::new();
    let mut submitted = 0;
    let mut decided = 0;
    let mut now = Duration::ZERO;
    for _ in 0..5000 {
        now += Duration::from_millis(rng.random_range(0..30));
        for _ in 0..rng.random_range(0..6) {
            submitted += 1;
            dispatch.submit(request(&short("relief", "a", 0.0), submitted, now), now);
        }
        if !running.is_empty() && rng.random() {
            let key = running.swap_remove(rng.random_range(0..running.len()));
            let outcomes = [
                AttemptOutcome::Success(SHORT_TIME),
                AttemptOutcome::Failure,
                AttemptOutcome::Shed,
                AttemptOutcome::Inconclusive,
            ];
            let outcome = outcomes[rng.random_range(0..outcomes.len())];
            dispatch.finish(key, outcome, None, now);
        }
        dispatch.tick(now);
        for decision in dispatch.take_decisions() {
            decided += 1;
            match decision.verdict {
                Verdict::Run(_) => running.push(decision.key),
                _ => dispatch.finish(decision.key, AttemptOutcome::Inconclusive, None, now),
            }
        }
        let busy: u32 = dispatch
            .server_views()
            .iter()
            .map(|server| server.busy)
            .sum();
        assert_eq!(busy as usize, running.len());
        assert!(
            dispatch
                .server_views()
                .iter()
                .all(|server| server.busy <= SLOTS)
        );
    }
    now += Duration::from_secs(10);
    dispatch.tick(now);
    decided += dispatch.take_decisions().len() as u32;
    assert_eq!(decided, submitted);
}
