//! One decision, and batches of them.

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

/// One routing decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// Request that was decided.
    pub request: RequestId,
    /// Wall-clock time, since the Unix epoch.
    pub at: Duration,
    /// Who sent it.
    pub caller: CallerName,
    /// Row that governed it.
    pub row: RowKey,
    /// Table version.
    pub table: TableVersion,
    /// Place in the order in which this instance decided for the service.
    pub order: u64,
    /// Fair-queueing tag.
    pub tag: f64,
    /// Requests that waited when it came.
    pub ahead: usize,
    /// Time it waited.
    pub waited: Duration,
    /// What was decided: `run`, `pass` or `refuse`.
    pub verdict: Arc<str>,
    /// Server, home or reason.
    pub target: Arc<str>,
    /// Servers or homes that could have been chosen, with free slots and score.
    pub candidates: Vec<RecordedCandidate>,
}

/// One that could have been chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedCandidate {
    /// Its name.
    pub name: Arc<str>,
    /// Free slots.
    pub free: u32,
    /// Score.
    pub score: f32,
}

/// Records that are stored as one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Instance that decided.
    pub instance: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Number of the batch, from 0.
    pub number: u64,
    /// Digest of the batch before, in hex; empty for the first.
    pub before: String,
    /// Records dropped since the batch before, because the buffer was full.
    pub dropped: u64,
    /// Records, oldest first.
    pub records: Vec<DecisionRecord>,
}

impl Batch {
    /// Name of the object that holds the batch.
    pub fn object_name(&self) -> String {
        format!(
            "records/{}/{:x}/{:08}",
            self.instance, self.incarnation, self.number
        )
    }

    /// Text of the object.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a batch holds no maps and no foreign types")
    }

    /// SHA-256 of the text, in hex.
    pub fn digest(text: &str) -> String {
        let digest = Sha256::digest(text.as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
