//! Execution of an experiment.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::faults;
use super::load;
use super::logs;
use super::plan::Plan;
use super::plot;
use super::report;
use super::report::Report;
use crate::fleet::Fleet;
use crate::fleet::Options;

/// Interval between two reads of the backend servers' counters.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the placement of homes to settle before the load starts.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Slot time that one backend server of a service has used until `at`, both in seconds.
#[derive(Clone, Debug)]
pub(super) struct SlotUsage {
    pub(super) at: f64,
    pub(super) service: String,
    pub(super) busy_s: f64,
}

/// Runs an experiment with one policy and writes `report.json` and `plot.svg`.
///
/// # Errors
///
/// When the fleet does not start or can't be controlled.
pub async fn run(plan: &Plan, naive: bool, out: &Path) -> eyre::Result<Report> {
    let policy = if naive { "naive" } else { "ours" };
    let folder = out.join(&plan.name).join(policy);
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    let mut fleet = Fleet::start(Options {
        example: plan.example.clone(),
        out: folder.clone(),
        entries: plan.entries,
        homes: plan.homes,
        naive,
        links: false,
    })
    .await?;
    let addresses = fleet.caller_addresses();
    let shared = Arc::new(plan.clone());
    tokio::time::sleep(SETTLE_TIME).await;
    let started = Instant::now();
    let mut loads = Vec::new();
    for (index, spec) in plan.loads.iter().enumerate() {
        let callers = load::new_callers(spec, &addresses);
        let seed = plan.seed.wrapping_mul(1000) + index as u64;
        let run = load::run(shared.clone(), spec.clone(), callers, started, seed);
        loads.push(tokio::spawn(run));
    }
    let control = fleet.deployment.backend_control();
    let slot_usage = tokio::spawn(sample_slot_usage(control, started, plan.seconds));
    let injected = faults::inject_all(&mut fleet, plan, started).await?;
    let mut samples = Vec::new();
    for load in loads {
        let results = load.await?;
        let results = results.lock().expect("lock is not poisoned").clone();
        samples.push(results);
    }
    let usage = slot_usage.await?;
    let (detections, other_ejections) = logs::detections(&fleet, &injected, naive)?;
    let stats = fleet.stats().await?;
    let slots = |service: &str| fleet.deployment.total_slots(service);
    let report = report::build(
        plan,
        policy,
        &samples,
        &usage,
        slots,
        &stats,
        detections,
        other_ejections,
    );
    std::fs::write(
        folder.join("report.json"),
        serde_json::to_string_pretty(&report)?,
    )?;
    plot::write(&folder.join("plot.svg"), plan, &samples)?;
    Ok(report)
}

/// Samples the slot time that the backend servers have used until the experiment ends.
async fn sample_slot_usage(
    control: std::net::SocketAddr,
    started: Instant,
    seconds: f64,
) -> Vec<SlotUsage> {
    let mut usage = Vec::new();
    while started.elapsed().as_secs_f64() < seconds {
        let at = started.elapsed().as_secs_f64();
        if let Ok(stats) = crate::fleet::stats(control).await {
            for server in stats {
                let service = server.server.split('/').next().unwrap_or_default();
                usage.push(SlotUsage {
                    at,
                    service: service.to_owned(),
                    busy_s: server.busy_us as f64 / 1e6,
                });
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    usage
}
