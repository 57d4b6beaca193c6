//! A sheet compared with the table in force.

use std::collections::BTreeMap;

use wb_types::id::EditId;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::Row;
use wb_types::policy::RowKey;

/// Policy rows of a delta, by key.
pub fn policy_rows(delta: &Delta) -> BTreeMap<RowKey, Row> {
    let rows = delta.rows.iter().filter_map(|row| match &row.content {
        Content::Policy(row) => Some((row.key.clone(), row.clone())),
        _ => None,
    });
    rows.collect()
}

/// A new edit id.
pub fn new_edit_id() -> EditId {
    let random: u64 = rand::random();
    format!("edit-{random:016x}").into()
}

/// The edit that brings the table to a sheet: rows that differ, and with `prune` the rows that
/// the sheet does not have.
pub fn diff(sheet: Vec<Row>, table: &Delta, base: TableVersion, prune: bool) -> Edit {
    let known = policy_rows(table);
    let gone = known
        .keys()
        .filter(|key| prune && sheet.iter().all(|row| row.key != **key));
    let dropped = gone.cloned().collect();
    let rows = sheet
        .into_iter()
        .filter(|row| known.get(&row.key) != Some(row))
        .collect();
    Edit {
        id: new_edit_id(),
        base,
        rows,
        dropped,
        callers: Vec::new(),
    }
}
