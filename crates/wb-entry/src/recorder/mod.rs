//! Recorder of decisions. Records are stored in the background, off the request path.

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
    /// Adds the record of a decision.
    Add(Box<Record>),
    /// Closes the open batch and stores it.
    Store,
    /// Storing a batch succeeded or failed.
    Stored(bool),
    /// Returns the records that are not stored yet.
    Unstored(RpcReplyPort<Vec<Record>>),
    /// Stores all batches; stops at the first failure.
    Flush(RpcReplyPort<()>),
}

/// Creates the record of a decision.
pub fn new_record(request: &Work, decision: &Decision) -> Record {
    let account = &decision.account;
    let (verdict, target): (&str, Arc<str>) = match &decision.verdict {
        Verdict::Run(grant) => ("run", grant.server.clone()),
        Verdict::Pass(home) => ("pass", home.clone()),
        Verdict::Refuse(refusal) => ("refuse", <&str>::from(refusal.reason).into()),
    };
    Record {
        request: request.id.clone(),
        at: unix_time(),
        caller: request.caller.clone(),
        row: request.row.clone(),
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

/// Sends a record to the recorder.
pub fn add(context: &Context, record: Record) {
    if let Some(actors) = context.actors.get() {
        let _ = actors.recorder.cast(RecorderMessage::Add(Box::new(record)));
    }
}
