//! Mix of lookups, orders and uploads through the fleet, with every response verified.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller::Caller;
use crate::caller::RequestOutcome;
use crate::caller::RequestSpec;
use crate::fleet::Fleet;

/// Number of concurrent requests.
const CONCURRENCY: usize = 24;
/// Orders among the requests that are not uploads, in percent.
const ORDERS_PERCENT: u32 = 30;
/// Uploads among all requests, per mille.
const UPLOADS_PER_MILLE: u32 = 30;
/// Size of the largest upload, in MiB.
const MAX_UPLOAD_MIB: usize = 64;

/// Outcomes of a run.
#[derive(Debug, Default)]
struct Counts {
    good: usize,
    wrong: usize,
    short: usize,
    other: Vec<String>,
}

/// Sends a number of requests and prints their outcomes. Returns whether no response was wrong or
/// short and no order ran more than once.
///
/// # Errors
///
/// When the backend servers' ledger can't be read.
pub async fn run(fleet: &Fleet, requests: usize, seed: u64) -> eyre::Result<bool> {
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.caller_addresses()));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let next = Arc::new(AtomicUsize::new(0));
    let block = Bytes::from(random_block(seed));
    let started = Instant::now();
    let workers = (0..CONCURRENCY).map(|_| {
        let (caller, counts, next) = (caller.clone(), counts.clone(), next.clone());
        let block = block.clone();
        tokio::spawn(async move {
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= requests {
                    return;
                }
                let outcome = send_one(&caller, &block, seed, index).await;
                counts
                    .lock()
                    .expect("lock is not poisoned")
                    .record(index, outcome);
            }
        })
    });
    futures::future::join_all(workers.collect::<Vec<_>>()).await;
    let duplicates = count_duplicates(fleet).await?;
    let counts = counts.lock().expect("lock is not poisoned");
    println!(
        "requests {requests} in {:.1?}: good {} wrong {} short {} other {}",
        started.elapsed(),
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
    println!("orders run twice: {duplicates}");
    Ok(counts.wrong == 0 && counts.short == 0 && duplicates == 0)
}

/// Counts the orders that ran more than once.
async fn count_duplicates(fleet: &Fleet) -> eyre::Result<usize> {
    let ledger = fleet.ledger().await?;
    Ok(ledger.iter().filter(|count| count.times > 1).count())
}

impl Counts {
    fn record(&mut self, index: usize, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Good => self.good += 1,
            RequestOutcome::Wrong => self.wrong += 1,
            RequestOutcome::Short => self.short += 1,
            other => self.other.push(format!("request {index}: {other:?}")),
        }
    }
}

fn random_block(seed: u64) -> Vec<u8> {
    let mut block = vec![0; MAX_UPLOAD_MIB * 1024 * 1024];
    SmallRng::seed_from_u64(seed).fill(&mut block[..]);
    block
}

async fn send_one(caller: &Caller, block: &Bytes, seed: u64, index: usize) -> RequestOutcome {
    let mut rng = SmallRng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9e37_79b9));
    if rng.random_range(0..1000) < UPLOADS_PER_MILLE {
        let size = rng.random_range(1..=MAX_UPLOAD_MIB) * 1024 * 1024;
        let spec = RequestSpec::upload(
            "pattern",
            &format!("/photos/{index}"),
            block.slice(..size),
            5.0,
        );
        return caller.send(&spec).await;
    }
    if rng.random_range(0..100) < ORDERS_PERCENT {
        let mut spec = RequestSpec::order("registry", &format!("mixed-{seed}-{index}"), 2.0);
        spec.idempotency_key = caller.request_tickets(1).await.into_iter().next();
        return caller.send(&spec).await;
    }
    let mut spec = RequestSpec::lookup("registry", &format!("/stock/{index}"), 2.0);
    spec.response_bytes = rng.random_range(64..200_000);
    caller.send(&spec).await
}
