//! The servers of one service, the choice among them, and who waits.
//!
//! Load answered: a service of which a third of the servers may fail at any moment, and crests at
//! which all sound slots are taken. Work that must not repeat goes where a whole answer came last;
//! idempotent work, which can be sent elsewhere, finds out about the others.

mod access;
mod finish;
mod offer;
mod pick;
mod update;
mod wait;

use std::collections::HashMap;
use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Server;

use crate::Evidence;
use crate::FailureDetector;
use crate::Options;
use crate::RetryBudget;

pub use offer::RETRY_AFTER_MIN;
pub use update::ListedServer;

slotmap::new_key_type! {
    /// Key of a server in a [`Balancer`].
    pub struct ServerKey;
    /// Key of a waiting request.
    pub struct WaitKey;
}

/// What a decision needs to know of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Route, for its usual time.
    pub route: wb_types::id::ServiceName,
    /// Whether running it again does no harm.
    pub idempotent: bool,
    /// Servers to which it may still be sent, this one included.
    pub sends_left: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When it came.
    pub arrived: Moment,
    /// Time from its arrival within which an answer has its full worth.
    pub target_latency: Duration,
    /// When an answer has no more worth.
    pub deadline: Moment,
    /// Servers that it was sent to before.
    pub tried: Vec<ServerKey>,
}

/// A slot at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The server.
    pub key: ServerKey,
    /// Where and what it is.
    pub server: Server,
    /// Whether the server is suspect and this request tries it.
    pub trial: bool,
    /// Requests running there, of all instances as far as known.
    pub running: u32,
    /// Time since the last whole answer of the server.
    pub since_success: Option<Duration>,
    /// Score of the server, in nats.
    pub score: f64,
}

/// Why a request is refused. It was not run by the refused send.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCause {
    /// No server of the service is listed, or all were tried.
    NoServer,
    /// It would not be served before its deadline.
    NoRoom,
    /// The bound on sends to a second server is reached.
    RetryBudget,
    /// Its deadline came while it waited.
    Deadline,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When it is worth asking again.
    pub retry_after: Duration,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes to a server now.
    Send(Box<Grant>),
    /// It waits; [`Balancer::pump`] says when it goes.
    Wait(WaitKey),
    /// It is refused.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
    /// A whole answer.
    Success(Duration),
    /// Evidence against the server.
    Failure(Evidence),
    /// The server said that it did not run the request.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// No answer came before the request's own deadline. That it was overdue was noted before.
    Timeout,
    /// Nothing was learnt, e.g. the caller went away.
    Inconclusive,
}

/// News for other instances.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceReport {
    /// The server.
    pub server: ServerName,
    /// What was learnt.
    pub evidence: Evidence,
    /// Whether the server is suspect now.
    pub suspect: bool,
    /// Whether that changed.
    pub changed: bool,
    /// Its score, in nats.
    pub score: f64,
}

/// One server.
#[derive(Clone, Debug)]
struct Entry {
    server: Server,
    trust: FailureDetector,
    /// Own requests running there.
    running: u32,
    /// The number of those that others were told last.
    told: u32,
    /// Requests that other instances have running there.
    others: HashMap<InstanceName, u32>,
    /// Duration of its work against the usual.
    pace: f64,
    /// Share of work that it shed of late.
    shed: f64,
    /// No work before this moment, since it just shed.
    rest: Moment,
    /// Slow until this moment, since it started.
    cold: Moment,
    /// Another server has its address.
    misplaced: bool,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiter {
    ask: RequestInfo,
    since: Moment,
}

/// A waiting request that goes or is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Released {
    /// Key that [`Offer::Wait`] gave.
    pub key: WaitKey,
    /// What becomes of it.
    pub result: Result<Box<Grant>, Refusal>,
}

/// The servers of one service.
#[derive(Debug)]
pub struct Balancer {
    options: Options,
    servers: slotmap::SlotMap<ServerKey, Entry>,
    names: HashMap<ServerName, ServerKey>,
    waiting: slotmap::SlotMap<WaitKey, Waiter>,
    /// Usual duration of a request by route, in seconds.
    usual: HashMap<wb_types::id::ServiceName, f64>,
    /// Usual duration of any request, in seconds.
    mean: f64,
    /// Part of the fleet's work on this service that this instance carries.
    part: f64,
    /// Share of sends that failed of late, trials aside.
    failing: f64,
    /// Highest rank of any request so far; 0 is the highest of all.
    urgent: u8,
    budget: RetryBudget,
}
