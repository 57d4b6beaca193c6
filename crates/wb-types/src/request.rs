//! A request as the dispatcher queues it, and the outcome of an attempt at a server.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerName;
use crate::id::Moment;
use crate::id::RequestId;
use crate::policy::RowKey;

/// Expected duration of a request at the backend server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedDuration {
    /// For example lookups and orders.
    Short,
    /// For example uploads and unusually slow requests.
    Long,
}

/// One request, as the queues and limits see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Policy row that applies to it.
    pub row: RowKey,
    /// Caller that sent it.
    pub caller: CallerName,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Expected duration.
    pub duration: ExpectedDuration,
    /// Time after which the caller no longer needs the response.
    pub deadline: Moment,
    /// Number of times that instances have forwarded it.
    pub hops: u8,
    /// Whether another home has already counted it against the row's limits.
    pub admitted: bool,
}

/// How an attempt at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// A complete response, received after this time.
    Success(Duration),
    /// A server error, a broken response, or none in time.
    Failure,
    /// The server reported that it shed the request.
    Shed,
    /// No evidence about the server: the caller disconnected, or the request was not sent.
    Inconclusive,
}
