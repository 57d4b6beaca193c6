//! What an entry process spends, by fleet size and by requests.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Ask;
use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::fleet::Options;
use crate::fleet::Usage;

/// Sizes of fleets without requests.
const SIZES: [usize; 4] = [6, 12, 24, 40];
/// Requests per second at the fleet of 6.
const RATES: [f64; 3] = [300.0, 900.0, 1800.0];
/// Time until the news of the start has been told.
const SETTLE: Duration = Duration::from_secs(8);
/// Length of one measurement.
const TIME: Duration = Duration::from_secs(6);

/// Means over the entry processes.
struct Spent {
    cpu: f64,
    memory: f64,
    bytes: f64,
}

pub(super) async fn run(example: &Path, out: &Path) -> eyre::Result<()> {
    println!("idle daemon: entries, % of a core, MiB resident, control bytes/s sent and received");
    for entries in SIZES {
        let fleet = start(example, out, entries).await?;
        tokio::time::sleep(SETTLE).await;
        let spent = measure(&fleet, 0.0).await?;
        println!(
            "  {entries:>4} {:>6.2} {:>6.1} {:>8.0}",
            spent.cpu * 100.0,
            spent.memory / 1024.0 / 1024.0,
            spent.bytes
        );
    }
    println!("requests: per second, cores of all 6 daemons, us of processor time per request");
    for rate in RATES {
        let fleet = start(example, out, 6).await?;
        let idle = measure(&fleet, 0.0).await?;
        let spent = measure(&fleet, rate).await?;
        let cores = (spent.cpu - idle.cpu) * fleet.size() as f64;
        println!("  {rate:>6.0} {cores:>6.3} {:>6.0}", cores / rate * 1e6);
    }
    Ok(())
}

async fn start(example: &Path, out: &Path, entries: usize) -> eyre::Result<Fleet> {
    Fleet::start(Options {
        example: example.to_path_buf(),
        out: out.join(format!("slopes-{entries}")),
        entries,
        homes: 1,
        naive: false,
        links: false,
    })
    .await
}

async fn measure(fleet: &Fleet, rate: f64) -> eyre::Result<Spent> {
    let count = fleet.size();
    let before = usage(fleet);
    let bytes_before = bytes(fleet).await?;
    let began = Instant::now();
    if rate > 0.0 {
        load(fleet, rate).await;
    } else {
        tokio::time::sleep(TIME).await;
    }
    let time = began.elapsed().as_secs_f64();
    let after = usage(fleet);
    let bytes_after = bytes(fleet).await?;
    Ok(Spent {
        cpu: (after.cpu - before.cpu).as_secs_f64() / time / count as f64,
        memory: after.memory as f64 / count as f64,
        bytes: (bytes_after - bytes_before) / time / count as f64,
    })
}

fn usage(fleet: &Fleet) -> Usage {
    let mut total = Usage::default();
    for index in 0..fleet.size() {
        let process = fleet.process(index).and_then(Usage::of).unwrap_or_default();
        total.cpu += process.cpu;
        total.memory += process.memory;
    }
    total
}

async fn bytes(fleet: &Fleet) -> eyre::Result<f64> {
    let mut total = 0.0;
    for index in 0..fleet.size() {
        let text = fleet.operator(index).metrics().await?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("wisteria_control_traffic_bytes "));
        total += line
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    Ok(total)
}

async fn load(fleet: &Fleet, rate: f64) {
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.callers()));
    let began = Instant::now();
    let mut tasks = Vec::new();
    let count = (rate * TIME.as_secs_f64()) as usize;
    for index in 0..count {
        let due = began + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move {
            let ask = Ask::lookup("registry", &format!("/stock/{index}"), 2.0);
            caller.send(&ask).await
        }));
    }
    futures::future::join_all(tasks).await;
}
