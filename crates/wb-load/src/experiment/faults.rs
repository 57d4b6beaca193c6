//! Faults on the time line.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::process::Signal;

use super::plan::Act;
use super::plan::Fault;
use super::plan::Plan;
use crate::fleet::Fleet;

/// A fault that happened.
#[derive(Clone, Debug)]
pub(super) struct Happened {
    /// The fault.
    pub(super) fault: Fault,
    /// When.
    pub(super) at: SystemTime,
}

/// Lets the faults of a plan happen at their times.
pub(super) async fn run(
    fleet: &mut Fleet,
    plan: &Plan,
    began: Instant,
) -> eyre::Result<Vec<Happened>> {
    let mut happened = Vec::new();
    for fault in &plan.faults {
        let due = began + Duration::from_secs_f64(fault.at);
        tokio::time::sleep_until(due.into()).await;
        happened.push(Happened {
            fault: fault.clone(),
            at: SystemTime::now(),
        });
        let stamp = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        println!(
            "fault {:?} at {:.3} s of the epoch",
            fault.act,
            stamp.as_secs_f64()
        );
        apply(fleet, fault).await?;
    }
    Ok(happened)
}

async fn apply(fleet: &mut Fleet, fault: &Fault) -> eyre::Result<()> {
    if fault.act == Act::Server {
        for server in named(fleet, &fault.server) {
            fleet.knobs(&server, &fault.knobs).await?;
        }
        return Ok(());
    }
    for index in fault.entries.iter().copied() {
        match fault.act {
            Act::Kill => fleet.kill(index)?,
            Act::Start => fleet.start_entry(index)?,
            Act::Stop => fleet.signal(index, Signal::STOP)?,
            Act::Cont => fleet.signal(index, Signal::CONT)?,
            Act::Roll => {
                fleet.leave(index).await?;
                fleet.start_entry(index)?;
                fleet.wait_entry(index).await?;
            }
            Act::Server => {}
        }
    }
    Ok(())
}

/// Servers that a name means: one, or all of a service.
fn named(fleet: &Fleet, name: &str) -> Vec<String> {
    let Some(service) = name.strip_suffix("/*") else {
        return vec![name.to_owned()];
    };
    let servers = fleet.roster.servers.iter();
    servers
        .filter(|server| &*server.service == service)
        .map(|server| format!("{service}/{}", server.name))
        .collect()
}
