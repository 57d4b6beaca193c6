//! Policy rows as rows of the table service.

use serde_json::Value;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

use crate::EditState;
use crate::Error;
use crate::api::RowCheck;
use crate::protocol::Check;
use crate::protocol::Rows;
use crate::protocol::StoredRow;
use crate::protocol::Transaction;
use crate::protocol::Write;

/// Table of the policy rows and callers.
pub(super) const POLICY: &str = "policy";
/// Table of the committed edits.
pub(super) const EDITS: &str = "edits";
/// Table of the claimed keys.
pub(super) const CLAIMS: &str = "claims";

/// Mark of a committed edit.
const COMMITTED: &str = "committed";
/// Mark of a barred edit.
const BARRED: &str = "barred";

/// Key of a policy row in the table service.
fn row_key(key: &RowKey) -> String {
    format!("row:{}:{}", key.service, key.class)
}

fn content_key(content: &Content) -> String {
    match content {
        Content::Policy(row) => row_key(&row.key),
        Content::Dropped(key) => row_key(key),
        Content::Caller(caller) => format!("caller:{}", caller.digest),
    }
}

/// The transaction of an edit: its rows, and its id so that a lost answer can be settled.
pub(super) fn transaction(
    edit: &str,
    checks: &[RowCheck],
    contents: &[Content],
) -> Result<Transaction, Error> {
    let mut transaction = Transaction::default();
    for check in checks {
        transaction.checks.push(Check {
            table: POLICY.to_owned(),
            key: row_key(&check.key),
            version: check.version,
        });
    }
    for content in contents {
        let value =
            serde_json::to_value(content).map_err(|err| Error::Malformed(err.to_string()))?;
        transaction.writes.push(Write {
            table: POLICY.to_owned(),
            key: content_key(content),
            value,
        });
    }
    mark_edit(&mut transaction, edit, COMMITTED);
    Ok(transaction)
}

/// Writes what became of an edit, unless that is decided already.
fn mark_edit(transaction: &mut Transaction, edit: &str, mark: &str) {
    transaction.checks.push(Check {
        table: EDITS.to_owned(),
        key: edit.to_owned(),
        version: 0,
    });
    transaction.writes.push(Write {
        table: EDITS.to_owned(),
        key: edit.to_owned(),
        value: Value::String(mark.to_owned()),
    });
}

/// The transaction that bars an edit.
pub(super) fn bar(edit: &str) -> Transaction {
    let mut transaction = Transaction::default();
    mark_edit(&mut transaction, edit, BARRED);
    transaction
}

/// What the row of an edit says.
pub(super) fn edit_state(row: Option<StoredRow>) -> EditState {
    match row {
        None => EditState::Absent,
        Some(row) if row.value == BARRED => EditState::Barred,
        Some(row) => EditState::Committed(row.version),
    }
}

/// The transaction that claims a key.
pub(super) fn claim(key: &str, text: &str) -> Transaction {
    let mut transaction = settle(key, text);
    transaction.checks.push(Check {
        table: CLAIMS.to_owned(),
        key: key.to_owned(),
        version: 0,
    });
    transaction
}

/// The transaction that replaces the text of a claimed key.
pub(super) fn settle(key: &str, text: &str) -> Transaction {
    Transaction {
        checks: Vec::new(),
        writes: vec![Write {
            table: CLAIMS.to_owned(),
            key: key.to_owned(),
            value: Value::String(text.to_owned()),
        }],
    }
}

/// Rows of the table service as policy rows.
pub(super) fn delta(after: u64, rows: Rows) -> Result<Delta, Error> {
    let mut delta = Delta {
        after,
        upto: rows.version,
        rows: Vec::new(),
    };
    for row in rows.rows {
        let content =
            serde_json::from_value(row.value).map_err(|err| Error::Malformed(err.to_string()))?;
        delta.rows.push(VersionedRow {
            version: row.version,
            content,
        });
    }
    Ok(delta)
}
