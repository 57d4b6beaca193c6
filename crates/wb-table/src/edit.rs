//! Merging of edits into the table.

use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::EditRefusal;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

use crate::Table;
use crate::check;

/// Merges an edit into the table. The edit changes only its own rows, and is refused if another
/// edit has changed one of its policy rows since the version that it is based on.
///
/// # Errors
///
/// The rows that other edits have changed and the validation errors of the edit. A refused edit
/// changes nothing.
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
        winners: conflicting_rows(table, edit),
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

fn conflicting_rows(table: &Table, edit: &Edit) -> Vec<VersionedRow> {
    let keys = edit.rows.iter().map(|row| &row.key).chain(&edit.dropped);
    keys.filter(|key| table.row_version(key) > edit.base)
        .map(|key| current_row(table, key))
        .collect()
}

fn current_row(table: &Table, key: &RowKey) -> VersionedRow {
    let content = match table.row(key) {
        Ok(row) => Content::Policy(row.clone()),
        Err(_) => Content::Dropped(key.clone()),
    };
    VersionedRow {
        version: table.row_version(key),
        content,
    }
}
