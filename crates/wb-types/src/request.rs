//! What a decision needs to know about one request.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerName;
use crate::id::Moment;
use crate::id::RequestId;
use crate::policy::RowKey;

/// Expected length of a piece of work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedDuration {
    /// Lookups, orders.
    Short,
    /// Uploads, stragglers.
    Long,
}

/// One request, as the queues see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Row that governs it.
    pub row: RowKey,
    /// Who sent it.
    pub caller: CallerName,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Expected length.
    pub duration: ExpectedDuration,
    /// When an answer loses its worth.
    pub deadline: Moment,
    /// How often instances have passed it on.
    pub hops: u8,
    /// Whether another home has counted it against the row's limits.
    pub admitted: bool,
}

/// How a piece of work ended at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// A whole answer.
    Success(Duration),
    /// An error of the server, a broken answer or none in time.
    Failure,
    /// The server said that it sheds load.
    Shed,
    /// The caller went away, or the work was not handed over.
    Inconclusive,
}
