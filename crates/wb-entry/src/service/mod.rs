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
use wb_dispatch::RequestKey;
use wb_dispatch::policy::LoadReport;
use wb_dispatch::policy::ServerView;
use wb_dispatch::policy::ServicePlacement;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::member::HomeLoad;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;
use wb_types::request::QueuedRequest;

use crate::Context;

pub use actor::spawn;
pub use handle::Guard;
pub use handle::find;
pub use handle::offer;

/// A request that asks where to go.
pub struct Offer {
    /// The request; its length is set by the actor.
    pub work: QueuedRequest,
    /// Route, for its usual duration.
    pub route: String,
    /// Size of its body, if known.
    pub size: Option<u64>,
    /// Where the decision goes.
    pub reply: oneshot::Sender<Decided>,
}

/// A decision, and the guards that end what it lets run.
pub struct Decided {
    /// The decision.
    pub decision: Decision,
    /// Expected length.
    pub length: ExpectedDuration,
    /// Ends the request.
    pub guard: Guard,
    /// Ends its copy, if there is one.
    pub copy: Option<Guard>,
}

/// The end of a request.
#[derive(Debug)]
pub struct Finish {
    /// Key of the request.
    pub key: RequestKey,
    /// How it ended.
    pub ending: AttemptOutcome,
    /// Load that the server reported.
    pub report: Option<LoadReport>,
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
    Table,
    /// Servers or homes changed.
    Place(ServicePlacement),
    /// Another home tells its load.
    Hear(HomeLoad),
    /// A home could not be reached.
    Unreachable(InstanceName),
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
    lengths: wb_dispatch::duration::DurationClassifier,
    waiting: HashMap<RequestKey, Waiting>,
    owned: bool,
    load_due: Moment,
    me: ActorRef<ServiceMessage>,
}

/// A request whose decision is due.
struct Waiting {
    work: QueuedRequest,
    route: String,
    reply: oneshot::Sender<Decided>,
}
