//! Running an experiment.

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

/// Time between two looks at the backend servers' counts.
const LOOK: Duration = Duration::from_millis(500);
/// Time for which callers find their homes before the load begins.
const SETTLE: Duration = Duration::from_secs(2);

/// Slot time of a service at a time.
#[derive(Clone, Debug)]
pub(super) struct Busy {
    pub(super) at: f64,
    pub(super) service: String,
    pub(super) used: f64,
}

/// Runs an experiment with one policy; writes its report and plot.
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
    let entries = fleet.callers();
    let shared = Arc::new(plan.clone());
    tokio::time::sleep(SETTLE).await;
    let began = Instant::now();
    let mut loads = Vec::new();
    for (index, spec) in plan.loads.iter().enumerate() {
        let callers = load::callers(spec, &entries);
        let seed = plan.seed.wrapping_mul(1000) + index as u64;
        let run = load::run(shared.clone(), spec.clone(), callers, began, seed);
        loads.push(tokio::spawn(run));
    }
    let control = fleet.deployment.control();
    let watch = tokio::spawn(watch(control, began, plan.seconds));
    let happened = faults::run(&mut fleet, plan, began).await?;
    let mut samples = Vec::new();
    for load in loads {
        let taken = load.await?;
        let taken = taken.lock().expect("no holder panics").clone();
        samples.push(taken);
    }
    let busy = watch.await?;
    let (detections, wrong) = logs::detections(&fleet, &happened, naive)?;
    let stats = fleet.stats().await?;
    let slots = |service: &str| fleet.deployment.slots(service);
    let report = report::make(
        plan, policy, &samples, &busy, slots, &stats, detections, wrong,
    );
    std::fs::write(
        folder.join("report.json"),
        serde_json::to_string_pretty(&report)?,
    )?;
    plot::write(&folder.join("plot.svg"), plan, &samples)?;
    Ok(report)
}

/// Slot time that each service's servers have used, over time.
async fn watch(control: std::net::SocketAddr, began: Instant, seconds: f64) -> Vec<Busy> {
    let mut busy = Vec::new();
    while began.elapsed().as_secs_f64() < seconds {
        let at = began.elapsed().as_secs_f64();
        if let Ok(stats) = crate::fleet::stats(control).await {
            for server in stats {
                let service = server.server.split('/').next().unwrap_or_default();
                busy.push(Busy {
                    at,
                    service: service.to_owned(),
                    used: server.busy_us as f64 / 1e6,
                });
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    busy
}
