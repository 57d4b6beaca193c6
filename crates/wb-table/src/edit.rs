//! Decides an edit against the rows that won before it.

use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::EditRefusal;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

use crate::Table;
use crate::check;

/// Merges an edit into the table: rows of other edits stay, rows that another edit changed since
/// the editor looked are lost to that edit.
///
/// # Errors
///
/// The rows that won, or the rules that the edit breaks. The edit then changes nothing.
pub fn merge(table: &Table, edit: &Edit) -> Result<Delta, EditRefusal> {
    let mut findings = Vec::new();
    check::rows(&edit.rows, &[], &mut findings);
    let count = edit.rows.len() + edit.dropped.len() + edit.callers.len();
    if count == 0 {
        findings.push(crate::Finding::new(0, "edit", "changes no row"));
    }
    if edit.base > table.newest_version() {
        findings.push(crate::Finding::new(
            0,
            "base",
            "is above the table's version",
        ));
    }
    let refusal = EditRefusal {
        winners: winners(table, edit),
        findings: findings.iter().map(ToString::to_string).collect(),
    };
    if !refusal.winners.is_empty() || !refusal.findings.is_empty() {
        return Err(refusal);
    }
    let version = table.version() + 1;
    let changed = edit.rows.iter().cloned().map(Content::Policy);
    let dropped = edit.dropped.iter().cloned().map(Content::Dropped);
    let callers = edit.callers.iter().cloned().map(Content::Caller);
    Ok(Delta {
        after: table.version(),
        upto: version,
        rows: changed
            .chain(dropped)
            .chain(callers)
            .map(|content| VersionedRow { version, content })
            .collect(),
    })
}

fn winners(table: &Table, edit: &Edit) -> Vec<VersionedRow> {
    let keys = edit.rows.iter().map(|row| &row.key).chain(&edit.dropped);
    keys.filter(|key| table.row_version(key) > edit.base)
        .map(|key| current(table, key))
        .collect()
}

fn current(table: &Table, key: &RowKey) -> VersionedRow {
    let content = match table.row(key) {
        Ok(row) => Content::Policy(row.clone()),
        Err(_) => Content::Dropped(key.clone()),
    };
    VersionedRow {
        version: table.row_version(key),
        content,
    }
}
