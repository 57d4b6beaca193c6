//! The actor that keeps decision records and stores them behind the path.

mod actor;

use std::sync::Arc;

use ractor::RpcReplyPort;
use wb_dispatch::Decision;
use wb_dispatch::Verdict;
use wb_dispatch::policy::Candidate;
use wb_record::Record;
use wb_record::record::Choice;
use wb_types::work::Work;

use crate::Context;
use crate::clock::unix_time;

pub use actor::spawn;

/// Messages of the recorder.
pub enum RecorderMessage {
    /// A decision was made.
    Add(Box<Record>),
    /// Time to store what there is.
    Store,
    /// A batch was stored, or not.
    Stored(bool),
    /// Records that are not stored yet, as batches' texts.
    Unstored(RpcReplyPort<Vec<Record>>),
    /// Stores all, as far as the object store takes it.
    Flush(RpcReplyPort<()>),
}

/// The record of a decision.
pub fn new_record(work: &Work, decision: &Decision) -> Record {
    let account = &decision.account;
    let (verdict, target): (&str, Arc<str>) = match &decision.verdict {
        Verdict::Run(grant) => ("run", grant.server.clone()),
        Verdict::Pass(home) => ("pass", home.clone()),
        Verdict::Refuse(refusal) => ("refuse", <&str>::from(refusal.reason).into()),
    };
    Record {
        request: work.id.clone(),
        at: unix_time(),
        caller: work.caller.clone(),
        row: work.row.clone(),
        table: account.table,
        order: account.order,
        tag: account.tag,
        ahead: account.ahead,
        waited: account.waited,
        verdict: verdict.into(),
        target,
        candidates: account.candidates.iter().map(to_choice).collect(),
    }
}

fn to_choice(candidate: &Candidate) -> Choice {
    Choice {
        name: candidate.name.clone(),
        free: candidate.free,
        score: candidate.score,
    }
}

/// Adds a record.
pub fn add(context: &Context, record: Record) {
    if let Some(actors) = context.actors.get() {
        let _ = actors.recorder.cast(RecorderMessage::Add(Box::new(record)));
    }
}
