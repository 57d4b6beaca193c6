//! Interface between a dispatch policy and the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_health::StateChange;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::TableVersion;
use wb_types::member::HomeLoad;
use wb_types::outcome::Refusal;
use wb_types::policy::Row;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;
use wb_types::roster::Server;

slotmap::new_key_type! {
    /// Key of a request between [`DispatchPolicy::submit`] and [`DispatchPolicy::finish`].
    pub struct RequestKey;
}

/// Decides where the requests of one service are sent.
///
/// Each submitted request gets exactly one [`Decision`], at once or later, unless it is finished
/// before; the daemon finishes each request once.
pub trait DispatchPolicy: Send {
    /// Sets the table rows of the service and its capacity floor in percent.
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32);
    /// Sets the servers that the instance owns and the other homes.
    fn set_placement(&mut self, placement: &LocalPlacement, now: Moment);
    /// Sets whether a server is leaving.
    fn set_leaving(&mut self, server: &str, leaving: bool);
    /// Records the load that another home reports.
    fn record_home_load(&mut self, load: &HomeLoad, now: Moment);
    /// Records that a home could not be reached.
    fn mark_unreachable(&mut self, home: &str, now: Moment);
    /// Submits a request for a decision.
    fn submit(&mut self, request: QueuedRequest, now: Moment) -> RequestKey;
    /// Ends a request in any state, with the outcome of its attempt and the load that the server
    /// reported.
    fn finish(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        server_load: Option<ServerLoad>,
        now: Moment,
    );
    /// Spends one retry of the retry budget; `false` if the budget does not allow it.
    fn try_spend_retry(&mut self) -> bool;
    /// Handles timeouts and periodic updates up to `now`.
    fn tick(&mut self, now: Moment);
    /// Removes and returns the decisions made since the last call.
    fn take_decisions(&mut self) -> Vec<Decision>;
    /// Removes and returns the health changes since the last call.
    fn take_changes(&mut self) -> Vec<StateChange>;
    /// Load of this home, as it is reported to the other homes.
    fn home_load(&mut self, now: Moment) -> HomeLoad;
    /// Median duration of short requests, if known.
    fn median_duration(&self) -> Option<Duration>;
    /// State of the owned servers, for operators.
    fn server_views(&self) -> Vec<ServerView>;
}

/// Servers and homes of a service, as seen by one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalPlacement {
    /// Servers that the instance owns; empty if it is not a home of the service.
    pub owned: Vec<Server>,
    /// All homes except this instance.
    pub other_homes: Vec<InstanceName>,
    /// Number of instances in the fleet, including this one.
    pub instance_count: usize,
}

/// A decision about one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub key: RequestKey,
    /// Where the request goes.
    pub verdict: Verdict,
    /// What the decision was based on.
    pub trace: DecisionTrace,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// To a backend server.
    Run(Assignment),
    /// Forward it to another home.
    Forward(InstanceName),
    /// Refuse it with a reason.
    Refuse(Refusal),
}

/// A slot of a backend server that is assigned to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the server.
    pub server: ServerName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum number of open connections to the server.
    pub max_connections: u32,
    /// A second server that gets a copy of the request as a health probe. Its response is
    /// discarded.
    pub mirror: Option<Mirror>,
}

/// A slot of a backend server that is assigned to the copy of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Mirror {
    /// Key with which the copy is finished.
    pub key: RequestKey,
    /// Name of the server.
    pub server: ServerName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum number of open connections to the server.
    pub max_connections: u32,
}

/// What a decision was based on; stored with the decision records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DecisionTrace {
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
    /// Servers or homes that could have been chosen.
    pub candidates: Vec<Candidate>,
}

/// A server or home that could have been chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// Name of the server or home.
    pub name: std::sync::Arc<str>,
    /// Free slots.
    pub free: u32,
    /// Score; higher ones are preferred.
    pub score: f32,
}

/// Load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Slots in use at the server, by all instances.
    pub busy: u32,
}

/// State of an owned server, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// State in the server health chart.
    pub state: String,
    /// Score of the sequential health test.
    pub score: f64,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Slots in use by this instance.
    pub busy: u32,
    /// Slots of the server.
    pub slots: u32,
}
