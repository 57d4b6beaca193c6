//! Calls to the actor of a service.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::oneshot;
use wb_dispatch::RequestKey;
use wb_dispatch::policy::ServerLoad;
use wb_types::id::ServiceName;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;

use super::DecisionReply;
use super::Finish;
use super::ServiceMessage;
use super::Submission;
use super::spawn;
use crate::Context;

/// Reports the end of a request to the actor of its service. Reports
/// [`AttemptOutcome::Inconclusive`] when it is dropped without a call of
/// [`RequestGuard::finish`].
pub struct RequestGuard {
    actor: ActorRef<ServiceMessage>,
    key: Option<RequestKey>,
    route: Option<String>,
}

impl RequestGuard {
    /// Creates a guard for a request about which `actor` has decided. With a `route`, the duration
    /// of a successful request is recorded for that route.
    pub fn new(actor: ActorRef<ServiceMessage>, key: RequestKey, route: Option<String>) -> Self {
        Self {
            actor,
            key: Some(key),
            route,
        }
    }

    /// Reports how the request ended, and the load that the server reported.
    pub fn finish(mut self, outcome: AttemptOutcome, server_load: Option<ServerLoad>) {
        self.send(outcome, server_load);
    }

    /// Returns the actor that decided about the request.
    pub fn actor(&self) -> &ActorRef<ServiceMessage> {
        &self.actor
    }

    fn send(&mut self, outcome: AttemptOutcome, server_load: Option<ServerLoad>) {
        let Some(key) = self.key.take() else {
            return;
        };
        let finish = Finish {
            key,
            outcome,
            server_load,
            route: self.route.take(),
        };
        let _ = self.actor.cast(ServiceMessage::Finish(finish));
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.send(AttemptOutcome::Inconclusive, None);
    }
}

/// Returns the actor of a service; spawns it if it is not running.
pub async fn get_or_spawn(
    context: &Arc<Context>,
    service: &ServiceName,
) -> Option<ActorRef<ServiceMessage>> {
    let running = {
        let services = context.services.read().expect("lock is not poisoned");
        services.get(service).cloned()
    };
    if running.is_some() {
        return running;
    }
    let actor = spawn(context.clone(), service.clone()).await.ok()?;
    let winner = {
        let mut services = context.services.write().expect("lock is not poisoned");
        services
            .entry(service.clone())
            .or_insert(actor.clone())
            .clone()
    };
    if winner.get_id() != actor.get_id() {
        actor.stop(None);
        return Some(winner);
    }
    let placement = context.view().local_placement(context, service);
    let _ = winner.cast(ServiceMessage::PlacementChanged(placement));
    Some(winner)
}

/// Offers a request to the actor of its service and waits for the decision.
///
/// # Errors
///
/// A refusal if the actor has stopped.
pub async fn submit(
    actor: &ActorRef<ServiceMessage>,
    request: QueuedRequest,
    route: String,
    size: Option<u64>,
) -> Result<DecisionReply, Refusal> {
    let (reply, decided) = oneshot::channel();
    let submission = Submission {
        request,
        route,
        size,
        reply,
    };
    let stopped = || Refusal::not_run(Reason::NoCapacity);
    actor
        .cast(ServiceMessage::Submit(Box::new(submission)))
        .map_err(|_| stopped())?;
    decided.await.map_err(|_| stopped())
}
