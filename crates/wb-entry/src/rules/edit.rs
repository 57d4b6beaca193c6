//! Committing edits.

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

use super::RulesMessage;
use crate::Context;

/// Tries to commit against rows that others keep changing.
const TRIES: usize = 5;
/// Tries to settle a commit whose answer was lost.
const SETTLE_TRIES: usize = 3;
/// Pause between those.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Decides and commits an edit.
pub(super) async fn run(
    context: &Arc<Context>,
    rules: &ActorRef<RulesMessage>,
    table: Table,
    edit: &Edit,
) -> EditOutcome {
    let outcome = try_commit(context, rules, table, edit).await;
    emit!(Event::EditDecided, "edit={} outcome={outcome:?}", edit.id);
    outcome
}

async fn try_commit(
    context: &Arc<Context>,
    rules: &ActorRef<RulesMessage>,
    table: Table,
    edit: &Edit,
) -> EditOutcome {
    let mut table = table;
    for _ in 0..TRIES {
        if let Ok(delta) = context.platform.policy_changes(table.version()).await {
            refresh(rules, &mut table, delta);
        }
        let delta = match merge(&table, edit) {
            Ok(delta) => delta,
            Err(refusal) => return refused(context, rules, edit, refusal).await,
        };
        let contents: Vec<Content> = delta.rows.into_iter().map(|row| row.content).collect();
        let checks = checks(&table, edit);
        let committed = context
            .platform
            .commit(&edit.id, checks, contents.clone())
            .await;
        match committed {
            Ok(CommitResult::Committed(version)) => return accept(rules, contents, version),
            Ok(CommitResult::Conflict) => match context.platform.edit_state(&edit.id).await {
                Ok(EditState::Committed(version)) => return accept(rules, contents, version),
                Ok(EditState::Barred) => return barred(),
                _ => {}
            },
            Err(Error::Unavailable(why)) => {
                let findings = vec![format!("the platform is down, nothing was changed: {why}")];
                return EditOutcome::Refused(EditRefusal {
                    findings,
                    ..EditRefusal::default()
                });
            }
            Err(_) => return settle(context, rules, edit, contents).await,
        }
    }
    EditOutcome::Unknown
}

fn refresh(rules: &ActorRef<RulesMessage>, table: &mut Table, delta: Delta) {
    if table.apply(&delta) == ApplyOutcome::Updated {
        let _ = rules.cast(RulesMessage::Received(Some(delta)));
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

fn accept(rules: &ActorRef<RulesMessage>, contents: Vec<Content>, version: u64) -> EditOutcome {
    let rows = contents
        .into_iter()
        .map(|content| VersionedRow { version, content });
    let _ = rules.cast(RulesMessage::Committed(rows.collect()));
    EditOutcome::Accepted(version)
}

fn barred() -> EditOutcome {
    let findings = vec!["the platform lost the write; apply again with a new id".to_owned()];
    EditOutcome::Refused(EditRefusal {
        findings,
        ..EditRefusal::default()
    })
}

/// Refuses an edit, unless it is one that was committed before and is sent again.
async fn refused(
    context: &Arc<Context>,
    rules: &ActorRef<RulesMessage>,
    edit: &Edit,
    refusal: EditRefusal,
) -> EditOutcome {
    match context.platform.edit_state(&edit.id).await {
        Ok(EditState::Committed(version)) => {
            let contents = edit.rows.iter().cloned().map(Content::Policy);
            accept(rules, contents.collect(), version)
        }
        _ => EditOutcome::Refused(refusal),
    }
}

/// Finds out what became of a commit whose answer was lost: reads the edit's id, and bars it if
/// it has not arrived, so that it can't arrive later.
async fn settle(
    context: &Arc<Context>,
    rules: &ActorRef<RulesMessage>,
    edit: &Edit,
    contents: Vec<Content>,
) -> EditOutcome {
    for _ in 0..SETTLE_TRIES {
        tokio::time::sleep(SETTLE_PAUSE).await;
        match context.platform.edit_state(&edit.id).await {
            Ok(EditState::Committed(version)) => return accept(rules, contents, version),
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

/// What became of an edit, by its id.
pub(super) async fn state(context: &Arc<Context>, id: &str) -> EditOutcome {
    match context.platform.edit_state(id).await {
        Ok(EditState::Committed(version)) => EditOutcome::Accepted(version),
        Ok(EditState::Barred) => barred(),
        _ => EditOutcome::Unknown,
    }
}
