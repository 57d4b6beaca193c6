//! Steps about the policy table.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use wb_ctl::table_file;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;
use wb_types::policy::Row;
use wb_types::policy::RowKey;

use super::Arguments;
use super::Scenario;
use crate::fleet::Fleet;

/// Longest wait for a row to be in force.
const WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

impl Scenario {
    /// Edits the weight of one row through one instance.
    pub(super) async fn edit(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let key = key(arguments)?;
        let weight = arguments.number("weight")?;
        let entry = arguments.number_or("entry", 0)?;
        let fleet = self.fleet()?;
        let outcome = set_weight(fleet, entry, &key, weight).await?;
        Ok(describe(&outcome))
    }

    /// Edits one row from several instances at once, each made against the same version.
    pub(super) async fn race(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let editors: usize = arguments.number("editors")?;
        let key = key(arguments)?;
        let fleet = self.fleet()?;
        let table = fleet.operator(0).table().await?;
        let known = table_file::policy_rows(&table);
        let row = known.get(&key).ok_or_eyre("no such row")?;
        let edits = (0..editors).map(|editor| {
            let mut row = row.clone();
            row.weight = 100 + editor as u32;
            let operator = fleet.operator(editor % fleet.size());
            let edit = new_edit(row, table.upto);
            async move { operator.submit_edit(&edit).await }
        });
        let mut accepted = 0;
        let mut shown = 0;
        for outcome in futures::future::join_all(edits).await {
            match outcome? {
                EditOutcome::Accepted(_) => accepted += 1,
                EditOutcome::Refused(refusal) if !refusal.winners.is_empty() => shown += 1,
                _ => {}
            }
        }
        Ok(format!("accepted {accepted}, shown the winner {shown}"))
    }

    /// Waits until a row has a weight at all running instances, and stays so.
    pub(super) async fn in_force(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let key = key(arguments)?;
        let weight: u32 = arguments.number("weight")?;
        let fleet = self.fleet()?;
        let began = Instant::now();
        while began.elapsed() < WAIT {
            let mut all = true;
            for index in (0..fleet.size()).filter(|index| fleet.is_running(*index)) {
                all &= weight_at(fleet, index, &key).await == Some(weight);
            }
            if all {
                return Ok("in force at all instances".to_owned());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok("not in force".to_owned())
    }
}

fn key(arguments: &Arguments) -> eyre::Result<RowKey> {
    Ok(RowKey {
        service: arguments.text("service")?.into(),
        class: arguments.text("class")?.into(),
    })
}

fn new_edit(row: Row, base: u64) -> Edit {
    Edit {
        id: table_file::new_edit_id(),
        base,
        rows: vec![row],
        dropped: Vec::new(),
        callers: Vec::new(),
    }
}

async fn weight_at(fleet: &Fleet, index: usize, key: &RowKey) -> Option<u32> {
    let table = fleet.operator(index).table().await.ok()?;
    table_file::policy_rows(&table)
        .get(key)
        .map(|row| row.weight)
}

async fn set_weight(
    fleet: &Fleet,
    entry: usize,
    key: &RowKey,
    weight: u32,
) -> eyre::Result<EditOutcome> {
    let operator = fleet.operator(entry);
    let table = operator.table().await?;
    let mut row = table_file::policy_rows(&table)
        .remove(key)
        .ok_or_eyre("no such row")?;
    row.weight = weight;
    let newest = table.rows.iter().map(|row| row.version).max().unwrap_or(0);
    operator
        .submit_edit(&new_edit(row, table.upto.max(newest)))
        .await
}

fn describe(outcome: &EditOutcome) -> String {
    match outcome {
        EditOutcome::Accepted(_) => "accepted".to_owned(),
        EditOutcome::Unknown => "unknown".to_owned(),
        EditOutcome::Refused(refusal) if refusal.winners.is_empty() => "refused".to_owned(),
        EditOutcome::Refused(_) => "refused, another edit won".to_owned(),
    }
}
