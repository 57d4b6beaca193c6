//! Load balancer of one service: its servers, the choice among them, and the queue.
//!
//! Meant for services of which a third of the servers may fail at any moment, with load peaks at
//! which all healthy slots are taken. Non-idempotent requests go to the servers that gave a
//! complete response most recently. Idempotent requests, which can be sent again elsewhere, are
//! used to learn the state of the others.

mod access;
mod finish;
mod held;
mod limits;
mod offer;
mod order;
mod pick;
mod repeats;
mod update;
mod wait;

use std::collections::HashMap;
use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;
use wb_share::Parts;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::TeamName;
use wb_types::roster::Server;

use crate::Evidence;
use crate::FailureDetector;
use crate::Hedging;
use crate::Options;
use crate::RetryBudget;
use crate::bytes::ByteLimit;
use crate::bytes::HeldBytes;
use crate::closing::Closing;
use crate::durations::Durations;
use crate::durations::RouteKey;
use crate::limit::Division;
use crate::limit::Rate;
use crate::limit::ServerLimit;
use crate::lines::LineKey;
use crate::lines::Lines;
use crate::overload::Overload;
use crate::pause::MissingServers;
use crate::ranks::Ranks;
use crate::shares::Flow;
use crate::shares::Shares;

pub use offer::RETRY_AFTER_MIN;
pub use update::ListedServer;

slotmap::new_key_type! {
    /// Key of a server in a [`Balancer`].
    pub struct ServerKey;
    /// Key of a queued request.
    pub struct WaitKey;
}

/// The team of a request, and what it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// What it is due where there is too little room, relative to other teams.
    pub weight: f64,
}

/// The properties of a request that decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Name of the route, for its average duration.
    pub route: wb_types::id::ServiceName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Attempts that are left, the next one included.
    pub attempts_left: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Team of the caller; `None` if the configuration names no teams, or for public routes.
    pub team: Option<TeamShare>,
    /// Time of arrival.
    pub arrived: Moment,
    /// Time from arrival within which the caller wants the response.
    pub target_latency: Duration,
    /// Time after which a response is useless.
    pub deadline: Moment,
    /// Servers that it was sent to before.
    pub tried: Vec<ServerKey>,
    /// Size of its body if that is large ([`crate::bytes::counted`]), in bytes; 0 otherwise.
    pub body: u64,
}

/// A slot at a server, taken for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The server.
    pub key: ServerKey,
    /// Its listing: address, failure domain and limits.
    pub server: Server,
    /// Whether the server is suspect and the request serves as a trial.
    pub trial: bool,
    /// Requests in flight at the server from all instances, as far as known, this one included.
    pub running: u32,
    /// Time since the server's last complete response.
    pub since_success: Option<Duration>,
    /// Failure score of the server, in nats.
    pub score: f64,
    /// Limit that the server has named for all instances together.
    pub limit: Option<Rate>,
    /// Size of the request's body if that is large, in bytes; 0 otherwise.
    pub body: u64,
}

/// Why a request is refused. No server has run the refused send.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCause {
    /// No usable server is listed, or all were tried.
    NoServer,
    /// The queue is full, the request would miss its deadline, or a hedged send found no free slot.
    NoRoom,
    /// The retry budget is used up.
    RetryBudget,
    /// The deadline came too close while the request was queued.
    Deadline,
    /// This instance ends too soon for a response.
    Leaving,
    /// The request has crashed the servers that ran it.
    Quarantined,
    /// This instance reaches no servers, as the one before that passed the request on.
    Unreachable,
    /// The operators' limit on hedged sends is used up.
    HedgeLimit,
    /// The service is slow as a whole, so that a hedged send would not be faster.
    ServiceSlow,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The cause.
    pub cause: RefusalCause,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
    /// Queued requests that would have got a slot before it.
    pub ahead: usize,
    /// Whether the team of the request has used what it is due of the retry budget.
    pub over_share: bool,
}

impl Refusal {
    /// A refusal for a cause that has nothing to do with other requests.
    pub fn new(cause: RefusalCause, retry_after: Duration) -> Self {
        Self {
            cause,
            retry_after,
            ahead: 0,
            over_share: false,
        }
    }
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this server now.
    Send(Box<Assignment>),
    /// It is queued until [`Balancer::release_queued`] returns the key.
    Wait(WaitKey),
    /// Refuse it.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response, after this time.
    Success(Duration),
    /// A complete response, after this time, to a request that was recorded as overdue.
    Late(Duration),
    /// A failure that is evidence against the server.
    Failure(Evidence),
    /// The server shed the request without running it.
    Shed,
    /// Another server answered at the address.
    Misdirected,
    /// No response before the request's own deadline. That it was overdue was recorded before.
    Timeout,
    /// Nothing was learnt about the server, e.g. because the caller disconnected.
    Inconclusive,
}

/// Evidence on a server, to be reported to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceReport {
    /// The server.
    pub server: ServerName,
    /// The evidence.
    pub evidence: Evidence,
    /// Whether the server is suspect now.
    pub suspect: bool,
    /// Whether the evidence changed that.
    pub changed: bool,
    /// Its failure score, in nats.
    pub score: f64,
}

/// A change of a server's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerName,
    /// The limit; `None` if it was lifted.
    pub limit: Option<Rate>,
    /// The limit before.
    pub before: Option<Rate>,
    /// Whether other instances have to be told.
    pub is_news: bool,
}

/// State of one server.
#[derive(Clone, Debug)]
struct ServerEntry {
    server: Server,
    /// Start of its process; 0 if unknown.
    started: u64,
    detector: FailureDetector,
    /// Own requests in flight.
    own_running: u32,
    /// Own requests in flight as last reported to peers.
    reported_running: u32,
    /// Requests in flight of each peer.
    peer_running: HashMap<InstanceName, u32>,
    /// Moving average of the ratio of its durations to the route's average.
    duration_ratio: f64,
    /// Moving average of the share of sends that it shed.
    shed_rate: f64,
    /// Gets no requests before this time, because it has just shed one.
    backoff_until: Moment,
    /// Counts as slow before this time, because it is warming up.
    warm_at: Moment,
    /// Another server answered at its address.
    misdirected: bool,
    /// Limit that the server has named for all instances together.
    limit: ServerLimit,
    /// Gets no requests before this time, because it has asked for a pause.
    paused_until: Moment,
    /// Bytes of large bodies in flight.
    bytes: HeldBytes,
}

/// A queued request.
#[derive(Clone, Debug)]
struct Waiter {
    request: RequestInfo,
    since: Moment,
    /// Queued requests that went before it when it came.
    ahead: usize,
    route: RouteKey,
    line: LineKey,
}

/// A request that left the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Released {
    /// Key from [`Decision::Wait`].
    pub key: WaitKey,
    /// Its slot, or why it is refused.
    pub result: Result<Box<Assignment>, Refusal>,
}

/// Load balancer of one service.
#[derive(Debug)]
pub struct Balancer {
    options: Options,
    servers: slotmap::SlotMap<ServerKey, ServerEntry>,
    keys: HashMap<ServerName, ServerKey>,
    queue: slotmap::SlotMap<WaitKey, Waiter>,
    /// The teams that have queued requests.
    lines: Lines,
    durations: Durations,
    /// Share of the fleet's requests for this service that this instance handles, 0 to 1.
    share: f64,
    /// Moving average of the share of sends that fail, without trials.
    failure_rate: f64,
    /// Moving average of the share of requests that are refused or fail.
    unserved_rate: f64,
    /// Moving average of the share of sends that fail or are overdue. Those that hang count long before
    /// they end.
    overdue_rate: f64,
    /// Moving average of the share of requests that can be sent again.
    explorer_share: f64,
    /// Trials that requests which can't be sent again may make: grows with each of them.
    return_allowance: f64,
    /// When the evidence on suspects was last updated.
    decayed_at: Moment,
    ranks: Ranks,
    retry_budget: RetryBudget,
    /// Hedged sends within the operators' limit; `None` if they name none.
    hedging: Option<Hedging>,
    /// How servers' limits are divided among the instances.
    division: Division,
    overload: Overload,
    /// When this instance ends, if it is about to.
    closing: Option<Closing>,
    missing_servers: MissingServers,
    /// Whether limits or pauses have reduced what this instance may send since the queue was last
    /// checked.
    limits_reduced: bool,
    /// What each team has been served.
    shares: Shares,
    /// What each team has used of the retry budget.
    repeat_parts: Parts<Flow>,
    /// When a request first went before others in the queue since it was last checked whether they
    /// still have time.
    overtaken_since: Option<Moment>,
    /// What a server can hold.
    byte_limit: ByteLimit,
    /// When each peer last reported requests in flight.
    peer_reports: HashMap<InstanceName, Moment>,
}
