//! Actor that decides where the requests of one service go.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use wb_dispatch::Decision;
use wb_dispatch::DispatchPolicy;
use wb_dispatch::Dispatcher;
use wb_dispatch::Naive;
use wb_dispatch::Options;
use wb_dispatch::Verdict;
use wb_event::Event;
use wb_event::emit;
use wb_health::StateChange;
use wb_types::id::ServiceName;
use wb_types::request::AttemptOutcome;

use super::DecisionReply;
use super::Finish;
use super::PendingRequest;
use super::RequestGuard;
use super::ServiceMessage;
use super::State;
use super::Submission;
use crate::Context;
use crate::recorder;

/// Interval between ticks of the policy.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Retry budget as a ratio of requests.
const RETRY_RATIO: f64 = 0.1;
/// Budget of mirrored requests, sent to test the health of a server, as a ratio of requests.
const MIRROR_RATIO: f64 = 0.1;

/// Actor that decides for one service.
struct ServiceActor;

/// Startup arguments of the actor.
struct Arguments {
    context: Arc<Context>,
    service: ServiceName,
}

/// Spawns the actor of a service.
///
/// # Errors
///
/// If the actor fails to start.
pub async fn spawn(
    context: Arc<Context>,
    service: ServiceName,
) -> Result<ActorRef<ServiceMessage>, ractor::SpawnErr> {
    let arguments = Arguments { context, service };
    let (actor, _) = ractor::Actor::spawn(None, ServiceActor, arguments).await?;
    Ok(actor)
}

impl Actor for ServiceActor {
    type Msg = ServiceMessage;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ServiceMessage>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments { context, service } = arguments;
        let policy = new_policy(&context, &service);
        let mut state = State {
            context,
            service,
            policy,
            durations: Default::default(),
            pending: HashMap::new(),
            owns_servers: false,
            next_load: Duration::ZERO,
            myself,
        };
        state.update_rows();
        state
            .myself
            .send_interval(TICK_INTERVAL, || ServiceMessage::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        _me: ActorRef<ServiceMessage>,
        message: ServiceMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        state.publish();
        Ok(())
    }
}

fn new_policy(context: &Context, service: &ServiceName) -> Box<dyn DispatchPolicy> {
    let settings = &context.settings;
    let instance = settings.instance.name.clone();
    let seed = context.incarnation;
    if settings.fleet.naive {
        return Box::new(Naive::new(instance, service.clone(), seed));
    }
    Box::new(Dispatcher::new(Options {
        instance,
        domain: settings.instance.domain.clone(),
        service: service.clone(),
        retry_ratio: RETRY_RATIO,
        mirror_ratio: MIRROR_RATIO,
        health: Default::default(),
        seed,
    }))
}

impl State {
    fn handle(&mut self, message: ServiceMessage) {
        let now = self.context.clock.now();
        match message {
            ServiceMessage::Submit(submission) => self.on_submit(*submission),
            ServiceMessage::Finish(finish) => self.on_finish(finish),
            ServiceMessage::TableChanged => self.update_rows(),
            ServiceMessage::PlacementChanged(placement) => {
                self.owns_servers = !placement.owned.is_empty();
                self.policy.set_placement(&placement, now);
                if !self.owns_servers {
                    let mut loads = self.context.loads.write().expect("lock is not poisoned");
                    loads.remove(&self.service);
                }
            }
            ServiceMessage::HomeLoad(load) => self.policy.record_home_load(&load, now),
            ServiceMessage::HomeUnreachable(home) => self.policy.mark_unreachable(&home, now),
            ServiceMessage::Leaving(server, leaving) => self.policy.set_leaving(&server, leaving),
            ServiceMessage::SpendRetry(reply) => {
                let _ = reply.send(self.policy.try_spend_retry());
            }
            ServiceMessage::Servers(reply) => {
                let _ = reply.send(self.policy.server_views());
            }
            ServiceMessage::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        if !self.owns_servers && self.pending.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        self.policy.tick(now);
        if now < self.next_load {
            return;
        }
        self.next_load = now + self.context.settings.fleet.exchange_interval;
        let load = self.policy.home_load(now);
        let mut loads = self.context.loads.write().expect("lock is not poisoned");
        loads.insert(self.service.clone(), load);
    }

    fn on_submit(&mut self, submission: Submission) {
        let Submission {
            mut request,
            route,
            size,
            reply,
        } = submission;
        request.duration = self
            .durations
            .classify(&route, size, self.policy.median_duration());
        let now = self.context.clock.now();
        let key = self.policy.submit(request.clone(), now);
        let pending = PendingRequest {
            request,
            route,
            reply,
        };
        self.pending.insert(key, pending);
    }

    fn on_finish(&mut self, finish: Finish) {
        let now = self.context.clock.now();
        if let (Some(route), AttemptOutcome::Success(took)) = (&finish.route, finish.outcome) {
            self.durations.record(route, took);
        }
        self.pending.remove(&finish.key);
        self.policy
            .finish(finish.key, finish.outcome, finish.server_load, now);
    }

    fn update_rows(&mut self) {
        let table = self.context.table();
        let rows: Vec<_> = table
            .rows()
            .filter(|row| row.key.service == self.service)
            .cloned()
            .collect();
        let floor = table.floor_percent(&self.service);
        self.policy.set_rows(&rows, table.version(), floor);
    }

    /// Sends the decisions to the requests that wait for them and logs changes of server health.
    fn publish(&mut self) {
        for decision in self.policy.take_decisions() {
            self.reply(decision);
        }
        for change in self.policy.take_changes() {
            self.log_change(&change);
        }
    }

    fn reply(&mut self, decision: Decision) {
        let key = decision.key;
        let Some(pending) = self.pending.remove(&key) else {
            return;
        };
        self.log_decision(&pending.request, &decision);
        let Verdict::Run(assignment) = &decision.verdict else {
            let guard = RequestGuard::new(self.myself.clone(), key, None);
            let _ = pending.reply.send(DecisionReply {
                decision,
                duration: pending.request.duration,
                guard,
                mirror: None,
            });
            return;
        };
        let mirror = assignment.mirror.as_ref();
        let mirror = mirror.map(|mirror| RequestGuard::new(self.myself.clone(), mirror.key, None));
        let guard = RequestGuard::new(self.myself.clone(), key, Some(pending.route));
        let _ = pending.reply.send(DecisionReply {
            decision,
            duration: pending.request.duration,
            guard,
            mirror,
        });
    }

    fn log_decision(&self, request: &wb_types::request::QueuedRequest, decision: &Decision) {
        let record = recorder::new_record(request, decision);
        let event = match &decision.verdict {
            Verdict::Run(_) => Event::Routed,
            Verdict::Forward(_) => Event::Passed,
            Verdict::Refuse(_) => Event::Refused,
        };
        emit!(
            event,
            "request={} service={} class={} caller={} target={} table={} order={} ahead={} waited_us={} candidates={}",
            request.id,
            request.row.service,
            request.row.class,
            request.caller,
            record.target,
            record.table,
            record.order,
            record.ahead,
            record.waited.as_micros(),
            record.candidates.len()
        );
        recorder::add(&self.context, record);
    }

    fn log_change(&self, change: &StateChange) {
        let event = if change.floor {
            Event::FloorHeld
        } else {
            Event::Health
        };
        if change.to == "ejected" {
            self.context.metrics.ejections.inc();
        }
        emit!(
            event,
            "service={} server={} from={} to={} score={:.1}",
            self.service,
            change.server,
            change.from,
            change.to,
            change.score
        );
    }
}
