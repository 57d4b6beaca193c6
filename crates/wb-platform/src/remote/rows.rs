//! Encoding of policy rows, edits and claims as rows of the table service.

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

/// Table of policy rows and callers.
pub(super) const POLICY: &str = "policy";
/// Table of committed and barred edits.
pub(super) const EDITS: &str = "edits";
/// Table of claimed idempotency keys.
pub(super) const CLAIMS: &str = "claims";

/// Content of a committed edit's row.
const COMMITTED: &str = "committed";
/// Content of a barred edit's row.
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

/// Transaction that commits an edit. It also writes the edit's id, so that the result can be read
/// back if the response is lost.
pub(super) fn commit_edit(
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
    add_edit_state(&mut transaction, edit, COMMITTED);
    Ok(transaction)
}

/// Adds the write of an edit's state, on condition that the edit has none yet.
fn add_edit_state(transaction: &mut Transaction, edit: &str, state: &str) {
    transaction.checks.push(Check {
        table: EDITS.to_owned(),
        key: edit.to_owned(),
        version: 0,
    });
    transaction.writes.push(Write {
        table: EDITS.to_owned(),
        key: edit.to_owned(),
        value: Value::String(state.to_owned()),
    });
}

/// Transaction that bars an edit.
pub(super) fn bar_edit(edit: &str) -> Transaction {
    let mut transaction = Transaction::default();
    add_edit_state(&mut transaction, edit, BARRED);
    transaction
}

/// Decodes the state of an edit from its row.
pub(super) fn edit_state(row: Option<StoredRow>) -> EditState {
    match row {
        None => EditState::Absent,
        Some(row) if row.value == BARRED => EditState::Barred,
        Some(row) => EditState::Committed(row.version),
    }
}

/// Transaction that claims a key.
pub(super) fn claim(key: &str, text: &str) -> Transaction {
    let mut transaction = update_claim(key, text);
    transaction.checks.push(Check {
        table: CLAIMS.to_owned(),
        key: key.to_owned(),
        version: 0,
    });
    transaction
}

/// Transaction that replaces the text of a claimed key.
pub(super) fn update_claim(key: &str, text: &str) -> Transaction {
    Transaction {
        checks: Vec::new(),
        writes: vec![Write {
            table: CLAIMS.to_owned(),
            key: key.to_owned(),
            value: Value::String(text.to_owned()),
        }],
    }
}

/// Decodes policy rows from rows of the table service.
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
