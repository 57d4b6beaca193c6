//! One actor per service, which decides where each request goes.

mod actor;
mod handle;

use std::collections::HashMap;
use std::sync::Arc;

use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::oneshot;
use wb_dispatch::Decision;
use wb_dispatch::DispatchPolicy;
use wb_dispatch::RequestKey;
use wb_dispatch::policy::LocalPlacement;
use wb_dispatch::policy::ServerLoad;
use wb_dispatch::policy::ServerView;
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
pub use handle::RequestGuard;
pub use handle::get_or_spawn;
pub use handle::submit;

/// A request that waits for a decision.
pub struct Submission {
    /// The request; the actor sets its expected duration.
    pub request: QueuedRequest,
    /// Method and first path segment; durations are recorded for each route.
    pub route: String,
    /// Size of the body in bytes, if known.
    pub size: Option<u64>,
    /// Receives the decision.
    pub reply: oneshot::Sender<DecisionReply>,
}

/// A decision, and guards for the request and its mirror.
pub struct DecisionReply {
    /// The decision.
    pub decision: Decision,
    /// Expected duration.
    pub duration: ExpectedDuration,
    /// Reports the end of the request.
    pub guard: RequestGuard,
    /// Reports the end of the mirrored request, if there is one.
    pub mirror: Option<RequestGuard>,
}

/// The end of a request.
#[derive(Debug)]
pub struct Finish {
    /// Key of the request.
    pub key: RequestKey,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Load that the server reported with its response.
    pub server_load: Option<ServerLoad>,
    /// Route for which the duration of the request is recorded.
    pub route: Option<String>,
}

/// Messages of a service actor.
pub enum ServiceMessage {
    /// Asks for a decision about a request.
    Submit(Box<Submission>),
    /// A request has ended.
    Finish(Finish),
    /// The policy table changed.
    TableChanged,
    /// The servers or homes of the service changed.
    PlacementChanged(LocalPlacement),
    /// Another home reported its load.
    HomeLoad(HomeLoad),
    /// A home could not be reached or takes no requests for the service.
    HomeUnreachable(InstanceName),
    /// A server started leaving (`true`) or is live again (`false`).
    Leaving(ServerName, bool),
    /// Spends one retry of the retry budget; replies whether the budget allowed it.
    SpendRetry(RpcReplyPort<bool>),
    /// Replies with the state of the owned servers, for operators.
    Servers(RpcReplyPort<Vec<ServerView>>),
    /// Advances the time of the policy.
    Tick,
}

/// State of a service actor.
pub struct State {
    context: Arc<Context>,
    service: ServiceName,
    policy: Box<dyn DispatchPolicy>,
    durations: wb_dispatch::duration::DurationClassifier,
    pending: HashMap<RequestKey, PendingRequest>,
    owns_servers: bool,
    next_load: Moment,
    myself: ActorRef<ServiceMessage>,
}

/// A request that has no decision yet.
struct PendingRequest {
    request: QueuedRequest,
    route: String,
    reply: oneshot::Sender<DecisionReply>,
}
