//! Services that get only requests which can't be sent again: servers that became suspect must be
//! used again, or the service goes under the floor of servers in use.

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::at;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::balancer::ServerKey;
use wb_types::id::Moment;

/// Window in which the users look at the servers in use.
const WINDOW: Duration = Duration::from_secs(2);
/// Share of the sound servers that must get requests in each window.
const FLOOR: f64 = 0.7;
/// Share of unserved requests from which the floor counts.
const UNSERVED: f64 = 0.1;
/// Interval at which the evidence on suspects is updated.
const DECAY_INTERVAL_MS: u64 = 300;
/// Time from the end of a fault until a server counts as sound.
const SOUND_AFTER: Duration = Duration::from_secs(2);

/// A service and its load.
struct Load {
    servers: usize,
    slots: u32,
    per_second: u64,
    /// Typical duration of a request, in milliseconds.
    work_ms: f64,
    /// Share of the time in which a server fails requests.
    failing: f64,
    /// Share of the requests that a failing server fails.
    failure_rate: f64,
    /// Share of the requests that other servers fail.
    usual_failures: f64,
    /// Whether a failing server lets requests hang until their deadline, or cuts them.
    hang: bool,
}

/// Length of one fault of a server.
const FAULT: Duration = Duration::from_secs(5);
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(2);
/// Length of a run, in milliseconds.
const RUN_MS: u64 = 40_000;

/// Start of each fault of a server.
fn faults(rng: &mut SmallRng, load: &Load) -> Vec<Moment> {
    let cycle = FAULT.div_f64(load.failing);
    let mut start = cycle.mul_f64(rng.random::<f64>());
    let mut faults = Vec::new();
    while start < at(RUN_MS) {
        faults.push(start);
        start += FAULT + (cycle - FAULT).mul_f64(rng.random_range(0.5..1.5));
    }
    faults
}

fn is_failing(faults: &[Moment], now: Moment, after: Duration) -> bool {
    faults
        .iter()
        .any(|start| *start <= now && now < *start + FAULT + after)
}

/// One request of the run.
struct Sent {
    at: Moment,
    server: Option<String>,
    served: bool,
}

fn simulate(load: &Load, seed: u64) -> (Vec<Sent>, HashMap<String, Vec<Moment>>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults: HashMap<String, Vec<Moment>> = (0..load.servers)
        .map(|index| (format!("s{index}"), faults(&mut rng, load)))
        .collect();
    let mut balancer = service(load.servers, load.slots);
    let mut sent: Vec<Sent> = Vec::new();
    // Events: end of a request, with its key, index and outcome; overdue requests; waiting ones.
    let mut ends: BinaryHeap<Reverse<(Moment, usize)>> = BinaryHeap::new();
    let mut running: HashMap<usize, (ServerKey, AttemptOutcome)> = HashMap::new();
    let mut overdue: BinaryHeap<Reverse<(Moment, usize)>> = BinaryHeap::new();
    let mut waiting = HashMap::new();
    for now in (0..RUN_MS).map(at) {
        while let Some(Reverse((_, index))) = ends.peek().copied().filter(|next| next.0.0 <= now) {
            ends.pop();
            let (key, outcome) = running.remove(&index).expect("it runs");
            sent[index].served = matches!(
                outcome,
                AttemptOutcome::Success(_) | AttemptOutcome::Late(_)
            );
            balancer.finish(key, "orders", outcome, now);
        }
        while let Some(Reverse((_, index))) = overdue.peek().copied().filter(|next| next.0.0 <= now)
        {
            overdue.pop();
            if let Some((key, outcome)) = running.get_mut(&index) {
                balancer.record_evidence(*key, Evidence::Overdue, now);
                if let AttemptOutcome::Success(took) = *outcome {
                    *outcome = AttemptOutcome::Late(took);
                }
            }
        }
        if (now.as_millis() as u64).is_multiple_of(DECAY_INTERVAL_MS) {
            balancer.decay(now);
        }
        let mut assigned = Vec::new();
        for released in balancer.release_queued(now) {
            let index = waiting.remove(&released.key).expect("it waits");
            if let Ok(assignment) = released.result {
                assigned.push((index, assignment));
            }
        }
        if rng.random_range(0..1000) < load.per_second {
            let index = sent.len();
            sent.push(Sent {
                at: now,
                server: None,
                served: false,
            });
            let mut order = request(false, now);
            order.deadline = now + DEADLINE;
            order.target_latency = Duration::from_millis(800);
            match balancer.admit(order, now) {
                Decision::Send(assignment) => assigned.push((index, assignment)),
                Decision::Wait(key) => {
                    waiting.insert(key, index);
                }
                Decision::Refuse(_) => {}
            }
        }
        for (index, assignment) in assigned {
            let name = assignment.server.name.to_string();
            let failing = is_failing(&faults[&name], now, Duration::ZERO);
            let work = load.work_ms * rng.random_range(0.3..1.7);
            let tail = if rng.random_bool(0.03) { 4.0 } else { 1.0 };
            let took = Duration::from_secs_f64(work * tail / 1000.0);
            let fails = failing && rng.random_bool(load.failure_rate);
            let errs = rng.random_bool(load.usual_failures);
            let (took, outcome) = match (fails, load.hang) {
                (false, _) if errs => (took, AttemptOutcome::Failure(Evidence::Failed)),
                (false, _) => (took, AttemptOutcome::Success(took)),
                (true, false) => (at(5), AttemptOutcome::Failure(Evidence::Cut)),
                (true, true) => (DEADLINE, AttemptOutcome::Timeout),
            };
            sent[index].server = Some(name);
            running.insert(index, (assignment.key, outcome));
            ends.push(Reverse((now + took, index)));
            overdue.push(Reverse((now + at(3 * load.work_ms as u64), index)));
        }
    }
    (sent, faults)
}

/// Windows in which too few of the sound servers get requests while requests go unserved.
fn windows_under_floor(sent: &[Sent], faults: &HashMap<String, Vec<Moment>>) -> Vec<String> {
    let mut found = Vec::new();
    let mut start = at(4000);
    while start + WINDOW + DEADLINE < at(RUN_MS) {
        let end = start + WINDOW;
        let within: Vec<&Sent> = sent
            .iter()
            .filter(|one| one.at >= start && one.at < end)
            .collect();
        let sound: HashSet<&str> = faults
            .iter()
            .filter(|(_, faults)| {
                !is_failing(faults, start, SOUND_AFTER) && !is_failing(faults, end, SOUND_AFTER)
            })
            .map(|(name, _)| name.as_str())
            .collect();
        let used: HashSet<&str> = within
            .iter()
            .filter_map(|one| one.server.as_deref())
            .filter(|name| sound.contains(name))
            .collect();
        let unserved = within.iter().filter(|one| !one.served).count();
        let share = unserved as f64 / within.len() as f64;
        if share > UNSERVED && (used.len() as f64) < FLOOR * sound.len() as f64 {
            found.push(format!(
                "{start:?}: {} of {} sound servers, {unserved} of {} unserved",
                used.len(),
                sound.len(),
                within.len()
            ));
        }
        start += Duration::from_millis(500);
    }
    found
}

macro_rules! stays_above_the_floor {
    ($($name:ident: $load:expr;)+) => {
        $(#[test]
        fn $name() {
            for seed in 0..12 {
                let (sent, faults) = simulate(&$load, seed);
                let found = windows_under_floor(&sent, &faults);
                assert!(found.is_empty(), "seed {seed}: {found:?}");
            }
        })+
    };
}

stays_above_the_floor! {
    orders_at_many_small_servers_that_hang: Load {
        servers: 90, slots: 2, per_second: 330, work_ms: 160.0,
        failing: 0.2, failure_rate: 0.65, usual_failures: 0.01, hang: true,
    };
    orders_at_many_small_servers_that_cut: Load {
        servers: 90, slots: 2, per_second: 330, work_ms: 160.0,
        failing: 0.25, failure_rate: 0.65, usual_failures: 0.01, hang: false,
    };
    orders_at_many_small_servers_with_some_errors: Load {
        servers: 90, slots: 2, per_second: 220, work_ms: 160.0,
        failing: 0.1, failure_rate: 0.65, usual_failures: 0.05, hang: true,
    };
    orders_at_many_small_servers_with_many_errors: Load {
        servers: 90, slots: 2, per_second: 220, work_ms: 160.0,
        failing: 0.06, failure_rate: 0.65, usual_failures: 0.08, hang: true,
    };
    orders_at_few_small_servers_that_hang: Load {
        servers: 11, slots: 2, per_second: 43, work_ms: 160.0,
        failing: 0.2, failure_rate: 0.65, usual_failures: 0.01, hang: true,
    };
}
