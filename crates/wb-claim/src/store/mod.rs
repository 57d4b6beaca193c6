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

/// Settings of [`Claims`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Instance that issues.
    pub instance: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Time that a ticket or a finished record is kept.
    pub ttl: Duration,
    /// Records kept at most.
    pub max_records: usize,
    /// Bytes of answers kept at most.
    pub max_bytes: usize,
    /// Seed of the tickets' random parts.
    pub seed: u64,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

/// One header of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// What is to be done with work under a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginOutcome {
    /// Run it; [`Claims::finish`] must follow.
    Run,
    /// It was run; give this answer again.
    Replay(StoredResponse),
    /// It was run, but its answer was too large to keep.
    ResponseNotKept,
    /// It is running now.
    InProgress,
    /// It may have been run.
    Unknown,
    /// The ticket was granted to another process.
    Moved(InstanceName),
    /// Another process issued the ticket; ask it.
    AskIssuer(InstanceName),
    /// No record: expired, or never issued.
    Missing,
    /// The ticket belongs to another caller or to other work.
    Mismatch,
}

/// How work under a ticket ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// With an answer; `None` if it is too large to keep.
    Done(Option<StoredResponse>),
    /// Without being run; the ticket can be used again.
    NotRun,
    /// Nobody can say.
    Unknown,
}

/// A record as one process hands it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketRecord {
    /// The ticket.
    pub ticket: Ticket,
    /// Caller that it was issued to.
    pub caller: CallerName,
    /// State of the record's chart.
    pub state: String,
    /// Method and path of the work, once it has begun.
    pub target: Option<String>,
    /// Answer of finished work.
    pub answer: Option<StoredResponse>,
}

/// One record.
#[derive(Clone, Debug)]
struct Entry {
    caller: CallerName,
    machine: Machine,
    target: Option<String>,
    answer: Option<StoredResponse>,
    holder: Option<Holder>,
    touched: Moment,
}

/// Place of a record in the order of expiry.
#[derive(Clone, Debug)]
struct Due {
    ticket: Ticket,
    touched: Moment,
}

/// Records of the tickets that a process holds.
#[derive(Debug)]
pub struct TicketStore {
    options: Options,
    chart: Arc<Chart>,
    entries: HashMap<Ticket, Entry>,
    dues: VecDeque<Due>,
    issued: u64,
    bytes: usize,
    closed: bool,
    rng: SmallRng,
}
