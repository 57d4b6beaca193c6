//! Decision records and their batches.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use wb_types::id::CallerName;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::policy::RowKey;

/// Record of a routing decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Wall-clock time of the decision, since the Unix epoch.
    pub at: Duration,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Table row that applied to the request.
    pub row: RowKey,
    /// Version of the table in force.
    pub table: TableVersion,
    /// Sequence number among the decisions of this instance for the service.
    pub order: u64,
    /// Fair-queueing tag at which the request was dequeued.
    pub tag: f64,
    /// Number of queued requests of the same expected duration when it arrived.
    pub ahead: usize,
    /// Time that the request was queued.
    pub waited: Duration,
    /// Decision: `run` (at a server), `pass` (forward to another home) or `refuse`.
    pub verdict: Arc<str>,
    /// Server, home or reason of the refusal.
    pub target: Arc<str>,
    /// Servers or homes that could have been chosen.
    pub candidates: Vec<RecordedCandidate>,
}

/// A server or home that could have been chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedCandidate {
    /// Name of the server or home.
    pub name: Arc<str>,
    /// Free slots.
    pub free: u32,
    /// Score; higher ones are preferred.
    pub score: f32,
}

/// Records that are stored as one object. The digests link the batches of a process into a chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Instance that made the decisions.
    pub instance: InstanceName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the batch in the process, from 0.
    pub number: u64,
    /// SHA-256 of the previous batch's text, in hexadecimal; empty for the first batch.
    pub before: String,
    /// Number of records dropped since the previous batch because the buffer was full.
    pub dropped: u64,
    /// Records, oldest first.
    pub records: Vec<DecisionRecord>,
}

impl Batch {
    /// Name of the object in which the batch is stored.
    pub fn object_name(&self) -> String {
        format!(
            "records/{}/{:x}/{:08}",
            self.instance, self.incarnation, self.number
        )
    }

    /// Content of the object, in JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self)
            .expect("a batch has no maps and only types that serialize without errors")
    }

    /// SHA-256 of a text, in hexadecimal.
    pub fn digest(text: &str) -> String {
        let digest = Sha256::digest(text.as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
