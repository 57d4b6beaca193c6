//! Time until an accepted edit is in force at all instances.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::bail;
use wb_ctl::table_file;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;
use wb_types::policy::RowKey;

use crate::fleet::Fleet;

/// Pause between two looks at an instance.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for an edit.
const WAIT: Duration = Duration::from_secs(20);

/// Makes edits through instances in turn and prints the times until each was in force.
///
/// # Errors
///
/// When an edit is not accepted or not in force in time.
pub async fn run(fleet: &Fleet, edits: usize) -> eyre::Result<()> {
    let mut times = Vec::new();
    for index in 0..edits {
        times.push(one(fleet, index).await?);
    }
    times.sort();
    let at = |quantile: f64| times[((times.len() as f64 * quantile) as usize).min(times.len() - 1)];
    println!(
        "edits {edits} instances {}: in force everywhere p50 {:.0?} p99 {:.0?} max {:.0?}",
        fleet.size(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
    Ok(())
}

async fn one(fleet: &Fleet, index: usize) -> eyre::Result<Duration> {
    let key = RowKey {
        service: "registry".into(),
        class: "relief".into(),
    };
    let operator = fleet.operator(index % fleet.size());
    let table = operator.table().await?;
    let mut row = table_file::policy_rows(&table)
        .remove(&key)
        .ok_or_eyre("no such row")?;
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
        bail!("an edit was not accepted: {outcome:?}");
    };
    let accepted = Instant::now();
    let waits = (0..fleet.size()).map(|at| {
        let operator = fleet.operator(at);
        let key = key.clone();
        async move {
            while accepted.elapsed() < WAIT {
                let table = operator.table().await?;
                if table_file::policy_rows(&table)
                    .get(&key)
                    .map(|row| row.weight)
                    == Some(weight)
                {
                    return Ok(accepted.elapsed());
                }
                tokio::time::sleep(PAUSE).await;
            }
            bail!("an edit is not in force at an instance")
        }
    });
    let times = futures::future::try_join_all(waits).await?;
    Ok(times.into_iter().max().unwrap_or_default())
}
