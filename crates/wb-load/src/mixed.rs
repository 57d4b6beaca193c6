//! Lookups, orders and uploads through the whole path, every answer checked.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller::Ask;
use crate::caller::Caller;
use crate::caller::Fate;
use crate::fleet::Fleet;

/// Requests in progress at a time.
const AT_A_TIME: usize = 24;
/// Of a hundred requests, so many are orders.
const ORDERS: u32 = 30;
/// Of a thousand requests, so many are uploads.
const UPLOADS: u32 = 30;
/// Largest upload, in MiB.
const UPLOAD_MAX: usize = 64;

/// Counts of a run.
#[derive(Debug, Default)]
struct Counts {
    good: usize,
    wrong: usize,
    short: usize,
    other: Vec<String>,
}

/// Runs a number of requests against a fleet.
///
/// # Errors
///
/// When the fleet can't be asked.
pub async fn run(fleet: &Fleet, requests: usize, seed: u64) -> eyre::Result<bool> {
    let entries: Vec<_> = fleet
        .roster
        .instances
        .iter()
        .map(|entry| entry.callers)
        .collect();
    let caller = Arc::new(Caller::new("key-of-all-services", entries));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let next = Arc::new(AtomicUsize::new(0));
    let block = Bytes::from(random_block(seed));
    let began = Instant::now();
    let workers = (0..AT_A_TIME).map(|_| {
        let (caller, counts, next) = (caller.clone(), counts.clone(), next.clone());
        let block = block.clone();
        tokio::spawn(async move {
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= requests {
                    return;
                }
                let fate = one(&caller, &block, seed, index).await;
                counts.lock().expect("no holder panics").add(index, fate);
            }
        })
    });
    futures::future::join_all(workers.collect::<Vec<_>>()).await;
    let twice = twice(fleet).await?;
    let counts = counts.lock().expect("no holder panics");
    println!(
        "requests {requests} in {:.1?}: good {} wrong {} short {} other {}",
        began.elapsed(),
        counts.good,
        counts.wrong,
        counts.short,
        counts.other.len()
    );
    counts
        .other
        .iter()
        .take(10)
        .for_each(|other| println!("  {other}"));
    println!("orders run twice: {twice}");
    Ok(counts.wrong == 0 && counts.short == 0 && twice == 0)
}

/// Orders that were run more than once.
async fn twice(fleet: &Fleet) -> eyre::Result<usize> {
    let ledger = fleet.ledger().await?;
    Ok(ledger.iter().filter(|count| count.times > 1).count())
}

impl Counts {
    fn add(&mut self, index: usize, fate: Fate) {
        match fate {
            Fate::Good => self.good += 1,
            Fate::Wrong => self.wrong += 1,
            Fate::Short => self.short += 1,
            other => self.other.push(format!("request {index}: {other:?}")),
        }
    }
}

fn random_block(seed: u64) -> Vec<u8> {
    let mut block = vec![0; UPLOAD_MAX * 1024 * 1024];
    SmallRng::seed_from_u64(seed).fill(&mut block[..]);
    block
}

async fn one(caller: &Caller, block: &Bytes, seed: u64, index: usize) -> Fate {
    let mut rng = SmallRng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9e37_79b9));
    if rng.random_range(0..1000) < UPLOADS {
        let size = rng.random_range(1..=UPLOAD_MAX) * 1024 * 1024;
        let ask = Ask::upload(
            "pattern",
            &format!("/photos/{index}"),
            block.slice(..size),
            5.0,
        );
        return caller.send(&ask).await;
    }
    if rng.random_range(0..100) < ORDERS {
        let mut ask = Ask::order("registry", &format!("mixed-{seed}-{index}"), 2.0);
        ask.key = caller.tickets(1).await.into_iter().next();
        return caller.send(&ask).await;
    }
    let mut ask = Ask::lookup("registry", &format!("/stock/{index}"), 2.0);
    ask.answer = rng.random_range(64..200_000);
    caller.send(&ask).await
}

/// Latency through the fleet and straight to the backend servers, in the same run, at a load.
///
/// # Errors
///
/// When no request succeeds.
pub async fn added(fleet: &Fleet, rate: f64, time: Duration) -> eyre::Result<()> {
    let entries: Vec<_> = fleet
        .roster
        .instances
        .iter()
        .map(|entry| entry.callers)
        .collect();
    let caller = Arc::new(Caller::new("key-of-all-services", entries));
    let servers: Vec<_> = fleet
        .roster
        .servers
        .iter()
        .filter(|server| &*server.service == "registry")
        .map(|server| server.address)
        .collect();
    let through = Arc::new(Mutex::new(Histogram::<u64>::new(3)?));
    let straight = Arc::new(Mutex::new(Histogram::<u64>::new(3)?));
    let count = (rate * time.as_secs_f64()) as usize;
    let began = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..count {
        let due = began + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let ask = Ask::lookup("registry", &format!("/stock/{index}"), 2.0);
        let caller = caller.clone();
        let direct = index % 2 == 1;
        let address = servers[(index / 2) % servers.len()];
        let histogram = if direct {
            straight.clone()
        } else {
            through.clone()
        };
        tasks.push(tokio::spawn(async move {
            let fate = if direct {
                caller.send_to(address, &ask).await
            } else {
                caller.send(&ask).await
            };
            if fate == Fate::Good {
                let took = due.elapsed().as_micros() as u64;
                let _ = histogram.lock().expect("no holder panics").record(took);
            }
        }));
    }
    futures::future::join_all(tasks).await;
    let through = through.lock().expect("no holder panics");
    let straight = straight.lock().expect("no holder panics");
    for quantile in [0.5, 0.9, 0.99] {
        let a = through.value_at_quantile(quantile);
        let b = straight.value_at_quantile(quantile);
        println!(
            "p{:<4} through {a:>6} us  straight {b:>6} us  added {:>6} us",
            quantile * 100.0,
            a as i64 - b as i64
        );
    }
    println!(
        "requests through {} straight {}",
        through.len(),
        straight.len()
    );
    Ok(())
}
