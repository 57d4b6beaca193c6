//! Orders while processes and the platform fail: no order may run twice, and an order that was
//! reported as not run or as done must match the ledger of the backend servers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;
use wb_stand::platform::PlatformFaults;
use wb_types::outcome::Outcome;

use crate::caller::Caller;
use crate::caller::RequestOutcome;
use crate::caller::RequestSpec;
use crate::fleet::Fleet;

/// Number of concurrent orders.
const CONCURRENCY: usize = 48;
/// Maximum attempts at one order.
const ATTEMPTS: usize = 4;
/// Attempts that are sent twice at once, to two random instances, in percent.
const DUPLICATE_PERCENT: u32 = 10;
/// Processing time of an order at the backend server, in milliseconds.
const WORK_MS: f64 = 25.0;
/// Tickets per ticket request.
const TICKET_BATCH: usize = 5;

/// Final status of an order as the caller knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KnownStatus {
    Done,
    NotRun,
    Unknown,
}

/// An order, its status and the last outcome that the caller saw.
struct Order {
    id: String,
    status: KnownStatus,
    last_outcome: String,
}

/// Sends orders while processes and the platform fail, and prints the result. Returns whether no
/// order ran twice and every reported status matches the ledger.
///
/// # Errors
///
/// When the fleet can't be controlled.
pub async fn run(fleet: &mut Fleet, orders: usize, seed: u64) -> eyre::Result<bool> {
    let entries = fleet.caller_addresses();
    let ended = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<Order>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..CONCURRENCY).map(|worker| {
        let entries = entries.clone();
        let (results, next) = (results.clone(), next.clone());
        tokio::spawn(run_worker(
            entries,
            results,
            next,
            orders,
            seed + worker as u64,
        ))
    });
    let workers: Vec<_> = workers.collect();
    let all = futures::future::join_all(workers);
    let done = ended.clone();
    let (_, faults) = tokio::join!(
        async move {
            all.await;
            done.store(true, Ordering::Relaxed);
        },
        inject_faults(fleet, seed, &ended)
    );
    let faults = faults?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    verify(fleet, &results, faults).await
}

async fn verify(fleet: &Fleet, results: &Mutex<Vec<Order>>, faults: usize) -> eyre::Result<bool> {
    let ledger = fleet.ledger().await?;
    let ran: HashMap<&str, u32> = ledger
        .iter()
        .map(|count| (count.order.as_str(), count.times))
        .collect();
    let results = results.lock().expect("lock is not poisoned");
    let count = |status| {
        results
            .iter()
            .filter(|order| order.status == status)
            .count()
    };
    let times = |order: &Order| ran.get(order.id.as_str()).copied().unwrap_or(0);
    let duplicates = results.iter().filter(|order| times(order) > 1).count();
    let false_refusals = results
        .iter()
        .filter(|order| order.status == KnownStatus::NotRun && times(order) > 0);
    let false_refusals: Vec<&str> = false_refusals.map(|order| order.id.as_str()).collect();
    let missing = results
        .iter()
        .filter(|order| order.status == KnownStatus::Done && times(order) == 0)
        .count();
    println!(
        "orders {} faults {faults}: done {} not run {} unknown {}",
        results.len(),
        count(KnownStatus::Done),
        count(KnownStatus::NotRun),
        count(KnownStatus::Unknown)
    );
    println!(
        "run twice {duplicates}, told not run but run {}, told done but not run {missing}",
        false_refusals.len()
    );
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for order in results
        .iter()
        .filter(|order| order.status != KnownStatus::Done)
    {
        *reasons.entry(&order.last_outcome).or_default() += 1;
    }
    println!("last outcome of orders that were not done: {reasons:?}");
    false_refusals
        .iter()
        .take(5)
        .for_each(|order| println!("  told not run but run: {order}"));
    Ok(duplicates == 0 && false_refusals.is_empty() && missing == 0)
}

async fn run_worker(
    entries: Vec<SocketAddr>,
    results: Arc<Mutex<Vec<Order>>>,
    next: Arc<AtomicUsize>,
    orders: usize,
    seed: u64,
) {
    let caller = Caller::new("key-of-all-services", entries.clone());
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tickets = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        if index >= orders {
            return;
        }
        if tickets.is_empty() {
            tickets = caller.request_tickets(TICKET_BATCH).await;
        }
        let id = format!("soak-{index}");
        let mut spec = RequestSpec::order("registry", &id, WORK_MS);
        spec.idempotency_key = tickets.pop();
        let mut last_outcome = String::new();
        let status = match spec.idempotency_key {
            Some(_) => place_order(&caller, &entries, &spec, &mut rng, &mut last_outcome).await,
            None => KnownStatus::NotRun,
        };
        let order = Order {
            id,
            status,
            last_outcome,
        };
        results.lock().expect("lock is not poisoned").push(order);
    }
}

/// Sends one order through random instances, repeating it under the same ticket until it is done or
/// the attempts are used up.
async fn place_order(
    caller: &Caller,
    entries: &[SocketAddr],
    spec: &RequestSpec,
    rng: &mut SmallRng,
    last_outcome: &mut String,
) -> KnownStatus {
    let mut status = KnownStatus::NotRun;
    for _ in 0..ATTEMPTS {
        let first = *entries.choose(rng).expect("a fleet has instances");
        let second = *entries.choose(rng).expect("a fleet has instances");
        let both = rng.random_range(0..100) < DUPLICATE_PERCENT;
        let outcomes = if both {
            let (a, b) = tokio::join!(caller.send_to(first, spec), caller.send_to(second, spec));
            vec![a, b]
        } else {
            vec![caller.send_to(first, spec).await]
        };
        for outcome in outcomes {
            *last_outcome = format!("{outcome:?}");
            match outcome {
                RequestOutcome::Good => return KnownStatus::Done,
                RequestOutcome::Refused(Outcome::NotRun, _) | RequestOutcome::Unsent => {}
                _ => status = KnownStatus::Unknown,
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    status
}

/// Kills, pauses and restarts entry processes and injects platform faults until `ended` is set.
/// Returns the number of faults.
async fn inject_faults(fleet: &mut Fleet, seed: u64, ended: &AtomicBool) -> eyre::Result<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = 0;
    while !ended.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
        let index = rng.random_range(0..fleet.size());
        faults += 1;
        match rng.random_range(0..6) {
            0 | 1 => {
                fleet.kill(index)?;
                tokio::time::sleep(Duration::from_millis(rng.random_range(100..1500))).await;
                fleet.start_entry(index)?;
            }
            2 => {
                fleet.signal(index, Signal::STOP)?;
                tokio::time::sleep(Duration::from_millis(rng.random_range(500..4000))).await;
                fleet.signal(index, Signal::CONT)?;
            }
            3 => {
                fleet.shut_down(index).await?;
                fleet.start_entry(index)?;
            }
            4 => {
                inject_platform_faults(
                    fleet,
                    PlatformFaults {
                        outage: true,
                        ..PlatformFaults::default()
                    },
                    &mut rng,
                )
                .await?
            }
            _ => {
                inject_platform_faults(
                    fleet,
                    PlatformFaults {
                        lost: 3,
                        ..PlatformFaults::default()
                    },
                    &mut rng,
                )
                .await?
            }
        }
    }
    fleet
        .set_platform_faults(&PlatformFaults::default())
        .await?;
    Ok(faults)
}

async fn inject_platform_faults(
    fleet: &Fleet,
    faults: PlatformFaults,
    rng: &mut SmallRng,
) -> eyre::Result<()> {
    fleet.set_platform_faults(&faults).await?;
    tokio::time::sleep(Duration::from_millis(rng.random_range(500..3000))).await;
    fleet.set_platform_faults(&PlatformFaults::default()).await
}
