//! Lookups, orders and uploads through the whole path, every answer checked.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
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
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.callers()));
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
