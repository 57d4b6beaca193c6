//! Orders under kills, pauses and platform faults: none is run twice, no refusal lies.

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
use wb_stand::platform::Faults;
use wb_types::outcome::Outcome;

use crate::caller::Ask;
use crate::caller::Caller;
use crate::caller::Fate;
use crate::fleet::Fleet;

/// Orders in progress at a time.
const AT_A_TIME: usize = 48;
/// Attempts at one order.
const ATTEMPTS: usize = 4;
/// Of a hundred orders, so many are sent twice at once.
const DOUBLE: u32 = 10;
/// Time that a backend server works on an order, in milliseconds.
const WORK_MS: f64 = 25.0;
/// Tickets taken at a time.
const TICKETS: usize = 5;

/// What the caller knows of an order at the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

/// One order and what the caller was told of it.
struct Order {
    id: String,
    told: Told,
    last: String,
}

/// Sends orders while processes and the platform fail.
///
/// # Errors
///
/// When the fleet can't be controlled.
pub async fn run(fleet: &mut Fleet, orders: usize, seed: u64) -> eyre::Result<bool> {
    let entries = fleet.callers();
    let ended = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<Order>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..AT_A_TIME).map(|worker| {
        let entries = entries.clone();
        let (results, next) = (results.clone(), next.clone());
        tokio::spawn(work(entries, results, next, orders, seed + worker as u64))
    });
    let workers: Vec<_> = workers.collect();
    let all = futures::future::join_all(workers);
    let done = ended.clone();
    let (_, faults) = tokio::join!(
        async move {
            all.await;
            done.store(true, Ordering::Relaxed);
        },
        chaos(fleet, seed, &ended)
    );
    let faults = faults?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    judge(fleet, &results, faults).await
}

async fn judge(fleet: &Fleet, results: &Mutex<Vec<Order>>, faults: usize) -> eyre::Result<bool> {
    let ledger = fleet.ledger().await?;
    let ran: HashMap<&str, u32> = ledger
        .iter()
        .map(|count| (count.order.as_str(), count.times))
        .collect();
    let results = results.lock().expect("no holder panics");
    let count = |told| results.iter().filter(|order| order.told == told).count();
    let times = |order: &Order| ran.get(order.id.as_str()).copied().unwrap_or(0);
    let twice = results.iter().filter(|order| times(order) > 1).count();
    let lies = results
        .iter()
        .filter(|order| order.told == Told::NotRun && times(order) > 0);
    let lies: Vec<&str> = lies.map(|order| order.id.as_str()).collect();
    let phantoms = results
        .iter()
        .filter(|order| order.told == Told::Done && times(order) == 0)
        .count();
    println!(
        "orders {} faults {faults}: done {} not run {} unknown {}",
        results.len(),
        count(Told::Done),
        count(Told::NotRun),
        count(Told::Unknown)
    );
    println!(
        "run twice {twice}, told not run but run {}, told done but not run {phantoms}",
        lies.len()
    );
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for order in results.iter().filter(|order| order.told != Told::Done) {
        *reasons.entry(&order.last).or_default() += 1;
    }
    println!("last word on orders that were not done: {reasons:?}");
    lies.iter()
        .take(5)
        .for_each(|order| println!("  lie: {order}"));
    Ok(twice == 0 && lies.is_empty() && phantoms == 0)
}

async fn work(
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
            tickets = caller.tickets(TICKETS).await;
        }
        let id = format!("soak-{index}");
        let mut ask = Ask::order("registry", &id, WORK_MS);
        ask.key = tickets.pop();
        let mut last = String::new();
        let told = match ask.key {
            Some(_) => place(&caller, &entries, &ask, &mut rng, &mut last).await,
            None => Told::NotRun,
        };
        let order = Order { id, told, last };
        results.lock().expect("no holder panics").push(order);
    }
}

/// Places one order: sends it again under the same ticket, through other instances, until the
/// caller knows or gives up.
async fn place(
    caller: &Caller,
    entries: &[SocketAddr],
    ask: &Ask,
    rng: &mut SmallRng,
    last: &mut String,
) -> Told {
    let mut told = Told::NotRun;
    for _ in 0..ATTEMPTS {
        let first = *entries.choose(rng).expect("a fleet has instances");
        let second = *entries.choose(rng).expect("a fleet has instances");
        let both = rng.random_range(0..100) < DOUBLE;
        let fates = if both {
            let (a, b) = tokio::join!(caller.send_to(first, ask), caller.send_to(second, ask));
            vec![a, b]
        } else {
            vec![caller.send_to(first, ask).await]
        };
        for fate in fates {
            *last = format!("{fate:?}");
            match fate {
                Fate::Good => return Told::Done,
                Fate::Refused(Outcome::NotRun, _) | Fate::Unsent => {}
                _ => told = Told::Unknown,
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    told
}

/// Kills, pauses and restarts entry processes, and disturbs the platform, until all is over.
async fn chaos(fleet: &mut Fleet, seed: u64, ended: &AtomicBool) -> eyre::Result<usize> {
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
                fleet.leave(index).await?;
                fleet.start_entry(index)?;
            }
            4 => {
                disturb(
                    fleet,
                    Faults {
                        outage: true,
                        ..Faults::default()
                    },
                    &mut rng,
                )
                .await?
            }
            _ => {
                disturb(
                    fleet,
                    Faults {
                        lost: 3,
                        ..Faults::default()
                    },
                    &mut rng,
                )
                .await?
            }
        }
    }
    fleet.platform(&Faults::default()).await?;
    Ok(faults)
}

async fn disturb(fleet: &Fleet, faults: Faults, rng: &mut SmallRng) -> eyre::Result<()> {
    fleet.platform(&faults).await?;
    tokio::time::sleep(Duration::from_millis(rng.random_range(500..3000))).await;
    fleet.platform(&Faults::default()).await
}
