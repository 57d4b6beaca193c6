//! Propagation time of policy edits: from acceptance until in force at all instances.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::bail;
use wb_ctl::table_file;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;
use wb_types::policy::RowKey;

use crate::fleet::Fleet;

/// Interval between two reads of the table of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which an edit must be in force.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Submits edits through the instances in turn and prints quantiles of their propagation time.
///
/// # Errors
///
/// When an edit is not accepted or not in force in time.
pub async fn run(fleet: &Fleet, edits: usize) -> eyre::Result<()> {
    let mut times = Vec::new();
    for index in 0..edits {
        times.push(time_edit(fleet, index).await?);
    }
    times.sort();
    let quantile = |share: f64| times[((times.len() as f64 * share) as usize).min(times.len() - 1)];
    println!(
        "edits {edits} instances {}: in force everywhere p50 {:.0?} p99 {:.0?} max {:.0?}",
        fleet.size(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    Ok(())
}

/// Submits one edit and returns the time until the last instance has it in force.
async fn time_edit(fleet: &Fleet, index: usize) -> eyre::Result<Duration> {
    let key = RowKey {
        service: "registry".into(),
        class: "relief".into(),
    };
    let operator = fleet.operator(index % fleet.size());
    let table = operator.table().await?;
    let mut row = table_file::policy_rows(&table)
        .remove(&key)
        .ok_or_eyre("the table has no row for registry/relief")?;
    row.weight = 100 + index as u32;
    let weight = row.weight;
    let newest = table.rows.iter().map(|row| row.version).max();
    let edit = Edit {
        id: table_file::new_edit_id(),
        base: table.upto.max(newest.unwrap_or(0)),
        rows: vec![row],
        dropped: Vec::new(),
        callers: Vec::new(),
    };
    let outcome = operator.submit_edit(&edit).await?;
    let EditOutcome::Accepted(_) = outcome else {
        bail!("edit was not accepted: {outcome:?}");
    };
    let accepted = Instant::now();
    let waits = (0..fleet.size()).map(|instance| {
        let operator = fleet.operator(instance);
        let key = key.clone();
        async move {
            while accepted.elapsed() < TIMEOUT {
                let table = operator.table().await?;
                if table_file::policy_rows(&table)
                    .get(&key)
                    .map(|row| row.weight)
                    == Some(weight)
                {
                    return Ok(accepted.elapsed());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            bail!("edit is not in force at every instance after {TIMEOUT:?}")
        }
    });
    let times = futures::future::try_join_all(waits).await?;
    Ok(times.into_iter().max().unwrap_or_default())
}
