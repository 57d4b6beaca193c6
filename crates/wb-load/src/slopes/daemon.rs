//! CPU time, memory and control traffic of the entry processes, by fleet size and request rate.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Caller;
use crate::caller::RequestSpec;
use crate::fleet::Fleet;
use crate::fleet::Options;
use crate::fleet::Usage;

/// Fleet sizes that are measured without requests.
const FLEET_SIZES: [usize; 4] = [6, 12, 24, 40];
/// Requests per second to a fleet of 6 entry processes.
const REQUEST_RATES: [f64; 3] = [300.0, 900.0, 1800.0];
/// Time for the gossip about the started instances to end.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// Mean usage per entry process: CPU cores, resident bytes, and control bytes per second.
struct ResourceUsage {
    cpu: f64,
    memory: f64,
    control_bytes: f64,
}

pub(super) async fn run(example: &Path, out: &Path) -> eyre::Result<()> {
    println!("idle daemon: entries, % of a core, MiB resident, control bytes/s sent and received");
    for entries in FLEET_SIZES {
        let fleet = start(example, out, entries).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let used = measure(&fleet, 0.0).await?;
        println!(
            "  {entries:>4} {:>6.2} {:>6.1} {:>8.0}",
            used.cpu * 100.0,
            used.memory / 1024.0 / 1024.0,
            used.control_bytes
        );
    }
    println!("requests: per second, cores of all 6 daemons, us of CPU time per request");
    for rate in REQUEST_RATES {
        let fleet = start(example, out, 6).await?;
        let idle = measure(&fleet, 0.0).await?;
        let used = measure(&fleet, rate).await?;
        let cores = (used.cpu - idle.cpu) * fleet.size() as f64;
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

async fn measure(fleet: &Fleet, rate: f64) -> eyre::Result<ResourceUsage> {
    let count = fleet.size();
    let before = total_usage(fleet);
    let control_bytes_before = control_bytes(fleet).await?;
    let started = Instant::now();
    if rate > 0.0 {
        send_load(fleet, rate).await;
    } else {
        tokio::time::sleep(MEASUREMENT_TIME).await;
    }
    let time = started.elapsed().as_secs_f64();
    let after = total_usage(fleet);
    let control_bytes_after = control_bytes(fleet).await?;
    Ok(ResourceUsage {
        cpu: (after.cpu - before.cpu).as_secs_f64() / time / count as f64,
        memory: after.memory as f64 / count as f64,
        control_bytes: (control_bytes_after - control_bytes_before) / time / count as f64,
    })
}

fn total_usage(fleet: &Fleet) -> Usage {
    let mut total = Usage::default();
    for index in 0..fleet.size() {
        let process = fleet
            .process_id(index)
            .and_then(Usage::of)
            .unwrap_or_default();
        total.cpu += process.cpu;
        total.memory += process.memory;
    }
    total
}

async fn control_bytes(fleet: &Fleet) -> eyre::Result<f64> {
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

async fn send_load(fleet: &Fleet, rate: f64) {
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.caller_addresses()));
    let started = Instant::now();
    let mut tasks = Vec::new();
    let count = (rate * MEASUREMENT_TIME.as_secs_f64()) as usize;
    for index in 0..count {
        let due = started + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move {
            let spec = RequestSpec::lookup("registry", &format!("/stock/{index}"), 2.0);
            caller.send(&spec).await
        }));
    }
    futures::future::join_all(tasks).await;
}
