//! The actor that keeps decision records and stores them behind the path.

mod actor;

use std::sync::Arc;

use ractor::RpcReplyPort;
use wb_dispatch::Decision;
use wb_dispatch::Verdict;
use wb_dispatch::policy::Candidate;
use wb_record::DecisionRecord;
use wb_record::record::RecordedCandidate;
use wb_types::request::QueuedRequest;

use crate::Context;
use crate::clock::wall;

pub use actor::spawn;

/// Messages of the recorder.
pub enum RecordMessage {
    /// A decision was made.
    Add(Box<DecisionRecord>),
    /// Time to store what there is.
    Store,
    /// A batch was stored, or not.
    Stored(bool),
    /// Records that are not stored yet, as batches' texts.
    Recent(RpcReplyPort<Vec<DecisionRecord>>),
    /// Stores all, as far as the object store takes it.
    Flush(RpcReplyPort<()>),
}

/// The record of a decision.
pub fn record(work: &QueuedRequest, decision: &Decision) -> DecisionRecord {
    let account = &decision.trace;
    let (verdict, target): (&str, Arc<str>) = match &decision.verdict {
        Verdict::Run(grant) => ("run", grant.server.clone()),
        Verdict::Forward(home) => ("pass", home.clone()),
        Verdict::Refuse(refusal) => ("refuse", <&str>::from(refusal.reason).into()),
    };
    DecisionRecord {
        request: work.id.clone(),
        at: wall(),
        caller: work.caller.clone(),
        row: work.row.clone(),
        table: account.table,
        order: account.order,
        tag: account.tag,
        ahead: account.ahead,
        waited: account.waited,
        verdict: verdict.into(),
        target,
        candidates: account.candidates.iter().map(choice).collect(),
    }
}

fn choice(candidate: &Candidate) -> RecordedCandidate {
    RecordedCandidate {
        name: candidate.name.clone(),
        free: candidate.free,
        score: candidate.score,
    }
}

/// Adds a record.
pub fn add(context: &Context, record: DecisionRecord) {
    if let Some(actors) = context.actors.get() {
        let _ = actors.recorder.cast(RecordMessage::Add(Box::new(record)));
    }
}
