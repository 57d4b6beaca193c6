//! Injection of the faults of a plan.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::process::Signal;

use super::plan::Fault;
use super::plan::FaultKind;
use super::plan::Plan;
use crate::fleet::Fleet;

/// A fault that was injected.
#[derive(Clone, Debug)]
pub(super) struct InjectedFault {
    /// The fault as planned.
    pub(super) fault: Fault,
    /// When it was injected.
    pub(super) at: SystemTime,
}

/// Injects the faults of a plan at their times.
pub(super) async fn inject_all(
    fleet: &mut Fleet,
    plan: &Plan,
    started: Instant,
) -> eyre::Result<Vec<InjectedFault>> {
    let mut injected = Vec::new();
    for fault in &plan.faults {
        let due = started + Duration::from_secs_f64(fault.at);
        tokio::time::sleep_until(due.into()).await;
        injected.push(InjectedFault {
            fault: fault.clone(),
            at: SystemTime::now(),
        });
        let stamp = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        println!(
            "fault {:?} at Unix time {:.3} s",
            fault.kind,
            stamp.as_secs_f64()
        );
        apply(fleet, fault).await?;
    }
    Ok(injected)
}

async fn apply(fleet: &mut Fleet, fault: &Fault) -> eyre::Result<()> {
    if fault.kind == FaultKind::Server {
        for server in matching_servers(fleet, &fault.server) {
            fleet
                .set_server_faults(&server, &fault.server_faults)
                .await?;
        }
        return Ok(());
    }
    for index in fault.entries.iter().copied() {
        match fault.kind {
            FaultKind::Kill => fleet.kill(index)?,
            FaultKind::Start => fleet.start_entry(index)?,
            FaultKind::Stop => fleet.signal(index, Signal::STOP)?,
            FaultKind::Cont => fleet.signal(index, Signal::CONT)?,
            FaultKind::Roll => {
                fleet.shut_down(index).await?;
                fleet.start_entry(index)?;
                fleet.wait_entry_ready(index).await?;
            }
            FaultKind::Server => {}
        }
    }
    Ok(())
}

/// Returns the servers that a fault targets: one, or all of a service for `service/*`.
fn matching_servers(fleet: &Fleet, name: &str) -> Vec<String> {
    let Some(service) = name.strip_suffix("/*") else {
        return vec![name.to_owned()];
    };
    let servers = fleet.roster.servers.iter();
    servers
        .filter(|server| &*server.service == service)
        .map(|server| format!("{service}/{}", server.name))
        .collect()
}
