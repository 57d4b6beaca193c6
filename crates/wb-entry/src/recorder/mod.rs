//! Recorder of decisions. Records are stored in the background, off the request path.

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
use crate::clock::unix_time;

pub use actor::spawn;

/// Messages of the recorder.
pub enum RecorderMessage {
    /// Adds the record of a decision.
    Add(Box<DecisionRecord>),
    /// Closes the open batch and stores the closed ones.
    Store,
    /// Storing a batch succeeded or failed.
    Stored(bool),
    /// Returns the records that are not stored yet.
    Unstored(RpcReplyPort<Vec<DecisionRecord>>),
    /// Stores all batches; stops at the first failure.
    Flush(RpcReplyPort<()>),
}

/// Creates the record of a decision.
pub fn new_record(request: &QueuedRequest, decision: &Decision) -> DecisionRecord {
    let trace = &decision.trace;
    let (verdict, target): (&str, Arc<str>) = match &decision.verdict {
        Verdict::Run(assignment) => ("run", assignment.server.clone()),
        Verdict::Forward(home) => ("pass", home.clone()),
        Verdict::Refuse(refusal) => ("refuse", <&str>::from(refusal.reason).into()),
    };
    DecisionRecord {
        request: request.id.clone(),
        at: unix_time(),
        caller: request.caller.clone(),
        row: request.row.clone(),
        table: trace.table,
        order: trace.order,
        tag: trace.tag,
        ahead: trace.ahead,
        waited: trace.waited,
        verdict: verdict.into(),
        target,
        candidates: trace.candidates.iter().map(to_candidate).collect(),
    }
}

fn to_candidate(candidate: &Candidate) -> RecordedCandidate {
    RecordedCandidate {
        name: candidate.name.clone(),
        free: candidate.free,
        score: candidate.score,
    }
}

/// Sends a record to the recorder.
pub fn add(context: &Context, record: DecisionRecord) {
    if let Some(actors) = context.actors.get() {
        let _ = actors.recorder.cast(RecorderMessage::Add(Box::new(record)));
    }
}
