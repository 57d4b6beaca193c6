//! Latency that the fleet adds, against going straight to the backend servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::caller::Ask;
use crate::caller::Caller;
use crate::caller::Fate;
use crate::fleet::Fleet;

/// Durations in microseconds.
type Times = Arc<Mutex<Histogram<u64>>>;

/// Sends lookups at a rate, in turn through the fleet and straight, and prints both latencies.
///
/// # Errors
///
/// When the histograms can't be made.
pub async fn run(fleet: &Fleet, rate: f64, time: Duration) -> eyre::Result<()> {
    let caller = Arc::new(Caller::new("key-of-all-services", fleet.callers()));
    let listed = fleet.roster.servers.iter();
    let servers: Vec<_> = listed
        .filter(|server| &*server.service == "registry")
        .map(|server| server.address)
        .collect();
    let through: Times = Arc::new(Mutex::new(Histogram::new(3)?));
    let straight: Times = Arc::new(Mutex::new(Histogram::new(3)?));
    let count = (rate * time.as_secs_f64()) as usize;
    let began = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..count {
        let due = began + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let caller = caller.clone();
        let ask = Ask::lookup("registry", &format!("/stock/{index}"), 2.0);
        let server = (index % 2 == 1).then(|| servers[(index / 2) % servers.len()]);
        let times = if server.is_some() {
            &straight
        } else {
            &through
        };
        let times = times.clone();
        tasks.push(tokio::spawn(async move {
            let fate = match server {
                Some(address) => caller.send_to(address, &ask).await,
                None => caller.send(&ask).await,
            };
            if fate == Fate::Good {
                let took = due.elapsed().as_micros() as u64;
                let _ = times.lock().expect("no holder panics").record(took);
            }
        }));
    }
    futures::future::join_all(tasks).await;
    print(&through, &straight);
    Ok(())
}

fn print(through: &Times, straight: &Times) {
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
}
