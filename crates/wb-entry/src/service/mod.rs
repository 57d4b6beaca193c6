//! The actor that decides for one service.

mod actor;
mod handle;

use std::collections::HashMap;
use std::sync::Arc;

use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::oneshot;
use wb_dispatch::Decision;
use wb_dispatch::Policy;
use wb_dispatch::WorkKey;
use wb_dispatch::policy::Place;
use wb_dispatch::policy::Report;
use wb_dispatch::policy::ServerView;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::member::HomeLoad;
use wb_types::work::Ending;
use wb_types::work::Length;
use wb_types::work::Work;

use crate::Context;

pub use actor::spawn;
pub use handle::RequestGuard;
pub use handle::get_or_spawn;
pub use handle::offer;

/// A request that asks where to go.
pub struct Offer {
    /// The request; its length is set by the actor.
    pub work: Work,
    /// Route, for its usual duration.
    pub route: String,
    /// Size of its body, if known.
    pub size: Option<u64>,
    /// Where the decision goes.
    pub reply: oneshot::Sender<DecisionReply>,
}

/// A decision, and the guards that end what it lets run.
pub struct DecisionReply {
    /// The decision.
    pub decision: Decision,
    /// Expected length.
    pub length: Length,
    /// Ends the request.
    pub guard: RequestGuard,
    /// Ends its copy, if there is one.
    pub copy: Option<RequestGuard>,
}

/// The end of a request.
#[derive(Debug)]
pub struct Finish {
    /// Key of the request.
    pub key: WorkKey,
    /// How it ended.
    pub ending: Ending,
    /// Load that the server reported.
    pub report: Option<Report>,
    /// Route, for its usual duration.
    pub route: Option<String>,
}

/// Messages of a service's actor.
pub enum ServiceMessage {
    /// A request asks where to go.
    Offer(Box<Offer>),
    /// A request has ended.
    Finish(Finish),
    /// The policy table changed.
    TableChanged,
    /// Servers or homes changed.
    PlacementChanged(Place),
    /// Another home tells its load.
    HomeLoad(HomeLoad),
    /// A home could not be reached.
    HomeUnreachable(InstanceName),
    /// A server is leaving, or stays after all.
    Leaving(ServerName, bool),
    /// Whether one more retry fits the budget.
    Retry(RpcReplyPort<bool>),
    /// The owned servers as operators see them.
    Servers(RpcReplyPort<Vec<ServerView>>),
    /// Time passes.
    Tick,
}

/// State of a service's actor.
pub struct State {
    context: Arc<Context>,
    service: ServiceName,
    policy: Box<dyn Policy>,
    lengths: wb_dispatch::length::Lengths,
    pending: HashMap<WorkKey, PendingRequest>,
    owns_servers: bool,
    next_load: Moment,
    me: ActorRef<ServiceMessage>,
}

/// A request whose decision is due.
struct PendingRequest {
    work: Work,
    route: String,
    reply: oneshot::Sender<DecisionReply>,
}
