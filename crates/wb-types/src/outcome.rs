//! What the fleet answers when no backend server does.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Whether a request without a response was executed.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Not executed: no byte of it reached a backend server, or the server reported that it shed
    /// the request.
    NotRun,
    /// It may have been executed, partly or completely.
    Unknown,
}

/// Why a request got no response from a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The caller's key is missing or not in the table.
    UnknownCaller,
    /// No row names the service.
    UnknownService,
    /// The service has no row for the class.
    UnknownClass,
    /// The request violates the protocol.
    BadRequest,
    /// The row's rate limit is exhausted.
    RateLimit,
    /// The row's concurrency limit is reached.
    Concurrency,
    /// The row's queue is full.
    QueueFull,
    /// The request waited in the queue for as long as the row allows.
    QueueWait,
    /// The deadline passed before the request was sent to a backend server.
    Deadline,
    /// No backend server can take requests.
    NoCapacity,
    /// The instance has no policy table yet.
    NoTable,
    /// The instance owns no backend servers of the service.
    NotHome,
    /// The backend server reported that it shed the request.
    Shed,
    /// No connection to a backend server or home instance could be opened.
    Connect,
    /// The response was cut off, or its length differed from the declared one.
    BrokenAnswer,
    /// The response did not arrive in time.
    Timeout,
    /// The instance that held the ticket has left or failed.
    HolderGone,
    /// The request of the ticket is still in progress.
    InProgress,
    /// The ticket is unknown or has expired.
    UnknownTicket,
    /// The platform is down and the idempotency key was not issued by the fleet, so it can't be
    /// claimed.
    PlatformDown,
}

impl Reason {
    /// HTTP status of a response with this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownCaller => 401,
            Self::UnknownService | Self::UnknownClass => 404,
            Self::BadRequest => 400,
            Self::RateLimit | Self::Concurrency => 429,
            Self::NotHome => 421,
            Self::Deadline | Self::Timeout => 504,
            Self::BrokenAnswer | Self::Connect => 502,
            Self::InProgress | Self::UnknownTicket | Self::HolderGone => 409,
            _ => 503,
        }
    }
}

/// Body of a response with which the fleet itself refuses a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Why the request got no response from a backend server.
    pub reason: Reason,
}

impl Refusal {
    /// Refusal of a request that was not executed.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// Refusal of a request that may have been executed.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }
}
