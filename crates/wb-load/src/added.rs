//! Latency that the fleet adds, compared with direct requests to the backend servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::caller::Caller;
use crate::caller::RequestOutcome;
use crate::caller::RequestSpec;
use crate::fleet::Fleet;

/// Latencies in microseconds.
type LatencyHistogram = Arc<Mutex<Histogram<u64>>>;

/// Sends lookups at a constant rate, in requests per second, alternately through the fleet and
/// directly to the backend servers, and prints the quantiles of both latencies. Latency counts from
/// when a request was due.
///
/// # Errors
///
/// When the histograms can't be created.
pub async fn run(fleet: &Fleet, rate: f64, duration: Duration) -> eyre::Result<()> {
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.caller_addresses()));
    let listed = fleet.roster.servers.iter();
    let servers: Vec<_> = listed
        .filter(|server| &*server.service == "registry")
        .map(|server| server.address)
        .collect();
    let via_fleet: LatencyHistogram = Arc::new(Mutex::new(Histogram::new(3)?));
    let direct: LatencyHistogram = Arc::new(Mutex::new(Histogram::new(3)?));
    let count = (rate * duration.as_secs_f64()) as usize;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..count {
        let due = started + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        let spec = RequestSpec::lookup("registry", &format!("/stock/{index}"), 2.0);
        let server = (index % 2 == 1).then(|| servers[(index / 2) % servers.len()]);
        let histogram = if server.is_some() {
            &direct
        } else {
            &via_fleet
        };
        let histogram = histogram.clone();
        tasks.push(tokio::spawn(async move {
            let outcome = match server {
                Some(address) => caller.send_to(address, &spec).await,
                None => caller.send(&spec).await,
            };
            if outcome == RequestOutcome::Good {
                let latency = due.elapsed().as_micros() as u64;
                let _ = histogram
                    .lock()
                    .expect("lock is not poisoned")
                    .record(latency);
            }
        }));
    }
    futures::future::join_all(tasks).await;
    print_quantiles(&via_fleet, &direct);
    Ok(())
}

fn print_quantiles(via_fleet: &LatencyHistogram, direct: &LatencyHistogram) {
    let via_fleet = via_fleet.lock().expect("lock is not poisoned");
    let direct = direct.lock().expect("lock is not poisoned");
    for quantile in [0.5, 0.9, 0.99] {
        let fleet_us = via_fleet.value_at_quantile(quantile);
        let direct_us = direct.value_at_quantile(quantile);
        println!(
            "p{:<4} fleet {fleet_us:>6} us  direct {direct_us:>6} us  added {:>6} us",
            quantile * 100.0,
            fleet_us as i64 - direct_us as i64
        );
    }
    println!(
        "requests through the fleet {} direct {}",
        via_fleet.len(),
        direct.len()
    );
}
