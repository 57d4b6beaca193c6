//! Validation and commit of edits to the policy table.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use wb_event::Event;
use wb_event::emit;
use wb_platform::CommitResult;
use wb_platform::EditState;
use wb_platform::Error;
use wb_platform::api::RowCheck;
use wb_table::Table;
use wb_table::edit::merge;
use wb_table::table::ApplyOutcome;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;
use wb_types::policy::EditRefusal;
use wb_types::policy::VersionedRow;

use super::TableMessage;
use crate::Context;

/// Maximum number of attempts to commit an edit whose rows are changed concurrently.
const COMMIT_ATTEMPTS: usize = 5;
/// Maximum number of attempts to find out the outcome of a commit whose response was lost.
const SETTLE_ATTEMPTS: usize = 3;
/// Pause before each attempt to find out the outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Validates and commits an edit.
pub(super) async fn decide(
    context: &Arc<Context>,
    actor: &ActorRef<TableMessage>,
    table: Table,
    edit: &Edit,
) -> EditOutcome {
    let outcome = try_commit(context, actor, table, edit).await;
    emit!(Event::EditDecided, "edit={} outcome={outcome:?}", edit.id);
    outcome
}

async fn try_commit(
    context: &Arc<Context>,
    actor: &ActorRef<TableMessage>,
    table: Table,
    edit: &Edit,
) -> EditOutcome {
    let mut table = table;
    for _ in 0..COMMIT_ATTEMPTS {
        if let Ok(delta) = context.platform.policy_changes(table.version()).await {
            refresh(actor, &mut table, delta);
        }
        let delta = match merge(&table, edit) {
            Ok(delta) => delta,
            Err(refusal) => return refused(context, actor, edit, refusal).await,
        };
        let contents: Vec<Content> = delta.rows.into_iter().map(|row| row.content).collect();
        let checks = checks(&table, edit);
        let committed = context
            .platform
            .commit(&edit.id, checks, contents.clone())
            .await;
        match committed {
            Ok(CommitResult::Committed(version)) => return accept(actor, contents, version),
            Ok(CommitResult::Conflict) => match context.platform.edit_state(&edit.id).await {
                Ok(EditState::Committed(version)) => return accept(actor, contents, version),
                Ok(EditState::Barred) => return barred(),
                _ => {}
            },
            Err(Error::Unavailable(reason)) => {
                let findings = vec![format!(
                    "the platform is down, nothing was changed: {reason}"
                )];
                return EditOutcome::Refused(EditRefusal {
                    findings,
                    ..EditRefusal::default()
                });
            }
            Err(_) => return settle(context, actor, edit, contents).await,
        }
    }
    EditOutcome::Unknown
}

fn refresh(actor: &ActorRef<TableMessage>, table: &mut Table, delta: Delta) {
    if table.apply(&delta) == ApplyOutcome::Updated {
        let _ = actor.cast(TableMessage::Fetched(Some(delta)));
    }
}

fn checks(table: &Table, edit: &Edit) -> Vec<RowCheck> {
    let keys = edit.rows.iter().map(|row| &row.key).chain(&edit.dropped);
    keys.map(|key| RowCheck {
        key: key.clone(),
        version: table.row_version(key),
    })
    .collect()
}

fn accept(actor: &ActorRef<TableMessage>, contents: Vec<Content>, version: u64) -> EditOutcome {
    let rows = contents
        .into_iter()
        .map(|content| VersionedRow { version, content });
    let _ = actor.cast(TableMessage::Committed(rows.collect()));
    EditOutcome::Accepted(version)
}

fn barred() -> EditOutcome {
    let findings = vec!["the platform lost the write; apply again with a new id".to_owned()];
    EditOutcome::Refused(EditRefusal {
        findings,
        ..EditRefusal::default()
    })
}

/// Refuses an edit, unless it was committed before and this is a retransmission.
async fn refused(
    context: &Arc<Context>,
    actor: &ActorRef<TableMessage>,
    edit: &Edit,
    refusal: EditRefusal,
) -> EditOutcome {
    match context.platform.edit_state(&edit.id).await {
        Ok(EditState::Committed(version)) => {
            let contents = edit.rows.iter().cloned().map(Content::Policy);
            accept(actor, contents.collect(), version)
        }
        _ => EditOutcome::Refused(refusal),
    }
}

/// Finds out the outcome of a commit whose response was lost: looks up the edit's id and, if the
/// commit has not arrived, bars the id so that it cannot take effect later.
async fn settle(
    context: &Arc<Context>,
    actor: &ActorRef<TableMessage>,
    edit: &Edit,
    contents: Vec<Content>,
) -> EditOutcome {
    for _ in 0..SETTLE_ATTEMPTS {
        tokio::time::sleep(SETTLE_PAUSE).await;
        match context.platform.edit_state(&edit.id).await {
            Ok(EditState::Committed(version)) => return accept(actor, contents, version),
            Ok(EditState::Barred) => return barred(),
            Ok(EditState::Absent) => {
                if let Ok(CommitResult::Committed(_)) = context.platform.bar_edit(&edit.id).await {
                    return barred();
                }
            }
            Err(_) => {}
        }
    }
    EditOutcome::Unknown
}

/// Looks up the outcome of an edit by its id.
pub(super) async fn outcome(context: &Arc<Context>, id: &str) -> EditOutcome {
    match context.platform.edit_state(id).await {
        Ok(EditState::Committed(version)) => EditOutcome::Accepted(version),
        Ok(EditState::Barred) => barred(),
        _ => EditOutcome::Unknown,
    }
}
