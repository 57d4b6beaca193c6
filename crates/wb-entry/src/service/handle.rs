//! Asking a service's actor.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::oneshot;
use wb_dispatch::RequestKey;
use wb_dispatch::policy::LoadReport;
use wb_types::id::ServiceName;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;

use super::Decided;
use super::Finish;
use super::Offer;
use super::ServiceMessage;
use super::spawn;
use crate::Context;

/// Ends a request when it is dropped: void, unless it was ended otherwise.
pub struct Guard {
    actor: ActorRef<ServiceMessage>,
    key: Option<RequestKey>,
    route: Option<String>,
}

impl Guard {
    /// A guard for a request that was granted a slot.
    pub fn new(actor: ActorRef<ServiceMessage>, key: RequestKey, route: Option<String>) -> Self {
        Self {
            actor,
            key: Some(key),
            route,
        }
    }

    /// Ends the request.
    pub fn finish(mut self, ending: AttemptOutcome, report: Option<LoadReport>) {
        self.send(ending, report);
    }

    /// The actor that decided.
    pub fn actor(&self) -> &ActorRef<ServiceMessage> {
        &self.actor
    }

    fn send(&mut self, ending: AttemptOutcome, report: Option<LoadReport>) {
        let Some(key) = self.key.take() else {
            return;
        };
        let finish = Finish {
            key,
            ending,
            report,
            route: self.route.take(),
        };
        let _ = self.actor.cast(ServiceMessage::Finish(finish));
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.send(AttemptOutcome::Inconclusive, None);
    }
}

/// The actor of a service; started if it is not running yet.
pub async fn find(
    context: &Arc<Context>,
    service: &ServiceName,
) -> Option<ActorRef<ServiceMessage>> {
    let known = {
        let services = context.services.read().expect("no holder panics");
        services.get(service).cloned()
    };
    if known.is_some() {
        return known;
    }
    let actor = spawn(context.clone(), service.clone()).await.ok()?;
    let winner = {
        let mut services = context.services.write().expect("no holder panics");
        services
            .entry(service.clone())
            .or_insert(actor.clone())
            .clone()
    };
    if winner.get_id() != actor.get_id() {
        actor.stop(None);
        return Some(winner);
    }
    let place = context.view().place(context, service);
    let _ = winner.cast(ServiceMessage::Place(place));
    Some(winner)
}

/// Offers a request and waits for the decision.
///
/// # Errors
///
/// A refusal if the actor is gone.
pub async fn offer(
    actor: &ActorRef<ServiceMessage>,
    work: QueuedRequest,
    route: String,
    size: Option<u64>,
) -> Result<Decided, Refusal> {
    let (reply, decided) = oneshot::channel();
    let offer = Offer {
        work,
        route,
        size,
        reply,
    };
    let gone = || Refusal::not_run(Reason::NoCapacity);
    actor
        .cast(ServiceMessage::Offer(Box::new(offer)))
        .map_err(|_| gone())?;
    decided.await.map_err(|_| gone())
}
