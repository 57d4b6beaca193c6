//! Edits from the differences between a table file and the table in force.

use std::collections::BTreeMap;

use wb_types::id::EditId;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::Row;
use wb_types::policy::RowKey;

/// Returns the policy rows of a delta, by key.
pub fn policy_rows(delta: &Delta) -> BTreeMap<RowKey, Row> {
    let rows = delta.rows.iter().filter_map(|row| match &row.content {
        Content::Policy(row) => Some((row.key.clone(), row.clone())),
        _ => None,
    });
    rows.collect()
}

/// Generates an edit id.
pub fn new_edit_id() -> EditId {
    let random: u64 = rand::random();
    format!("edit-{random:016x}").into()
}

/// Returns the edit that changes the table to the rows of a file: those that differ are replaced,
/// and with `prune` those that are missing from the file are deleted.
pub fn diff(file_rows: Vec<Row>, table: &Delta, base: TableVersion, prune: bool) -> Edit {
    let current = policy_rows(table);
    let removed = current
        .keys()
        .filter(|key| prune && file_rows.iter().all(|row| row.key != **key));
    let dropped = removed.cloned().collect();
    let rows = file_rows
        .into_iter()
        .filter(|row| current.get(&row.key) != Some(row))
        .collect();
    Edit {
        id: new_edit_id(),
        base,
        rows,
        dropped,
        callers: Vec::new(),
    }
}
