//! Randomized soak test: real gateway processes under faults injected from outside.
//!
//! - [`testbed`]: gateway processes, stand-ins for the store and backend servers, and their links.
//! - [`faults`]: random faults, drawn from a seed.
//! - [`caller`]: callers that send requests and record the responses.
//! - [`slots`]: slots that instances count as taken at the end.
//! - [`check`]: checks of the fleet's guarantees against what callers and backend servers recorded.
//! - [`cuts`]: the check of instances that are cut off from all servers.

pub mod caller;
pub mod check;
pub mod cuts;
pub mod faults;
pub mod slots;
pub mod testbed;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::check::Report;
use crate::testbed::Options;
use crate::testbed::Testbed;

/// Time without faults at the end of a run, in which the fleet must serve requests again.
pub const FAULT_FREE_TIME: Duration = Duration::from_secs(6);

/// Injects faults for `duration`, then checks all guarantees.
///
/// # Errors
///
/// When a process or stand-in can't be started, or an instance does not become ready.
pub async fn run(options: Options, duration: Duration) -> eyre::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut testbed = Testbed::start(options).await?;
    testbed.wait_ready().await?;
    let callers = caller::Callers::start(&testbed);
    let faults = faults::inject_all(&mut testbed, duration, &mut rng).await?;
    let faults_ended = std::time::Instant::now();
    callers.stop_leavers();
    tokio::time::sleep(FAULT_FREE_TIME).await;
    let results = callers.finish().await;
    let mut report = check::check(&testbed, &results, &faults, faults_ended);
    let taken = slots::check_quiet(&mut testbed).await?;
    report.violations.extend(taken);
    testbed.stop();
    Ok(report)
}
