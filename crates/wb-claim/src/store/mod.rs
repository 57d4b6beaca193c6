//! Records of the tickets that an instance holds.

mod begin;
mod expire;
mod init;
mod transfer;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::CallerName;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

use crate::Ticket;

pub use transfer::Handover;
pub use transfer::Holder;

/// Settings of [`TicketStore`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time after the last update at which a record that isn't running expires.
    pub ttl: Duration,
    /// Maximum number of records; no ticket is issued beyond it.
    pub max_records: usize,
    /// Maximum total size of the stored responses, in bytes.
    pub max_bytes: usize,
    /// Seed of the ticket nonces.
    pub seed: u64,
}

/// A complete response of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are sent to the caller.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// A response header.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// How a request under a ticket is to be handled.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginOutcome {
    /// Run it and call [`TicketStore::finish`] afterwards.
    Run,
    /// It was run; repeat this response.
    Replay(StoredResponse),
    /// It was run, but its response was too large to keep.
    ResponseNotKept,
    /// It is running.
    InProgress,
    /// It may have been run.
    Unknown,
    /// The ticket was granted to a process of the named instance.
    Moved(InstanceName),
    /// Another process issued the ticket; the named instance must be asked for it.
    AskIssuer(InstanceName),
    /// No record exists: the ticket expired or was never issued, or the store is closed.
    Missing,
    /// The ticket was issued to another caller or used for another request.
    Mismatch,
}

/// How a request under a ticket ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// With a response; `None` if it is too large to keep.
    Done(Option<StoredResponse>),
    /// It was not run; the ticket can be used again.
    NotRun,
    /// It may or may not have been run.
    Unknown,
}

/// A ticket record in the form in which one process transfers it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketRecord {
    /// The ticket.
    pub ticket: Ticket,
    /// Caller that the ticket was issued to.
    pub caller: CallerName,
    /// State in the ticket chart (`charts/ticket.yaml`).
    pub state: String,
    /// Method and path of the request, once it has begun.
    pub target: Option<String>,
    /// Response of a finished request, if it was kept.
    #[serde(rename = "answer")]
    pub response: Option<StoredResponse>,
}

/// The record of one ticket.
#[derive(Clone, Debug)]
struct TicketEntry {
    caller: CallerName,
    machine: Machine,
    target: Option<String>,
    response: Option<StoredResponse>,
    /// Process that the ticket was granted to.
    holder: Option<Holder>,
    last_update: Moment,
}

/// Entry of the expiry queue, outdated if the record has been updated since.
#[derive(Clone, Debug)]
struct ExpiryEntry {
    ticket: Ticket,
    last_update: Moment,
}

/// Records of the tickets that a process holds.
#[derive(Debug)]
pub struct TicketStore {
    options: Options,
    chart: Arc<Chart>,
    entries: HashMap<Ticket, TicketEntry>,
    expiry_queue: VecDeque<ExpiryEntry>,
    issued: u64,
    response_bytes: usize,
    closed: bool,
    rng: SmallRng,
}
