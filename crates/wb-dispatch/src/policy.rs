//! The border between decisions and the daemon.

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
    /// Key of a request between [`Policy::offer`] and [`Policy::finish`].
    pub struct RequestKey;
}

/// Decides where the requests of one service go.
///
/// Each offered request gets exactly one [`Decision`], now or later, unless it is finished
/// before; each one is finished once.
pub trait Policy: Send {
    /// Sets the rows of the service.
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32);
    /// Sets the servers that the instance owns, and the homes.
    fn set_placement(&mut self, place: &ServicePlacement, now: Moment);
    /// Marks a server as leaving, or as staying after all.
    fn set_leaving(&mut self, server: &str, leaving: bool);
    /// Takes what another home says of its load.
    fn record_home_load(&mut self, load: &HomeLoad, now: Moment);
    /// Notes that a home could not be reached.
    fn mark_unreachable(&mut self, home: &str, now: Moment);
    /// Takes a request.
    fn submit(&mut self, work: QueuedRequest, now: Moment) -> RequestKey;
    /// Ends a request, whatever became of it.
    fn finish(
        &mut self,
        key: RequestKey,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
        now: Moment,
    );
    /// Whether one more retry fits the budget.
    fn try_spend_retry(&mut self) -> bool;
    /// Lets time pass.
    fn tick(&mut self, now: Moment);
    /// Decisions made since the last call.
    fn take_decisions(&mut self) -> Vec<Decision>;
    /// Changes of health since the last call.
    fn take_changes(&mut self) -> Vec<StateChange>;
    /// What the other homes are told.
    fn home_load(&mut self, now: Moment) -> HomeLoad;
    /// Median duration of short work.
    fn median_duration(&self) -> Option<Duration>;
    /// Each owned server as operators see it.
    fn server_views(&self) -> Vec<ServerView>;
}

/// Servers and homes of a service, as one instance sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlacement {
    /// Servers that the instance owns.
    pub owned: Vec<Server>,
    /// All homes but the instance itself.
    pub other_homes: Vec<InstanceName>,
    /// Instances of the fleet, this one included.
    pub instance_count: usize,
}

/// A decision about one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub key: RequestKey,
    /// What is to be done.
    pub verdict: Verdict,
    /// Why.
    pub trace: DecisionTrace,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Give it to a backend server.
    Run(Assignment),
    /// Pass it to another home.
    Forward(InstanceName),
    /// Refuse it.
    Refuse(Refusal),
}

/// Leave to use a slot of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the server.
    pub server: ServerName,
    /// Its address.
    pub address: SocketAddr,
    /// Connections that may be open to it.
    pub max_connections: u32,
    /// A second server that gets a copy, as evidence; its answer goes to nobody.
    pub mirror: Option<Mirror>,
}

/// Leave to send a copy of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Mirror {
    /// Key to finish the copy with.
    pub key: RequestKey,
    /// Name of the server.
    pub server: ServerName,
    /// Its address.
    pub address: SocketAddr,
    /// Connections that may be open to it.
    pub max_connections: u32,
}

/// Why a decision was made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DecisionTrace {
    /// Table version.
    pub table: TableVersion,
    /// Place in the order in which this home decided.
    pub order: u64,
    /// Fair-queueing tag at which the request was served.
    pub tag: f64,
    /// Requests that waited when it came.
    pub ahead: usize,
    /// Time it waited.
    pub waited: Duration,
    /// Servers or homes that could have been chosen.
    pub candidates: Vec<Candidate>,
}

/// A server or home that could have been chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// Its name.
    pub name: std::sync::Arc<str>,
    /// Free slots.
    pub free: u32,
    /// Score; the highest is chosen.
    pub score: f32,
}

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Slots in use there.
    pub busy: u32,
}

/// An owned server as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// State of its health chart.
    pub state: String,
    /// Score of the sequential test.
    pub score: f64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Slots in use by this instance.
    pub busy: u32,
    /// Its slots.
    pub slots: u32,
}
