//! Messages of a service's actor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use wb_dispatch::Decision;
use wb_dispatch::Dispatcher;
use wb_dispatch::Naive;
use wb_dispatch::Options;
use wb_dispatch::Policy;
use wb_dispatch::Verdict;
use wb_event::Event;
use wb_event::emit;
use wb_health::StateChange;
use wb_types::id::ServiceName;
use wb_types::request::AttemptOutcome;

use super::Decided;
use super::Finish;
use super::Guard;
use super::Offer;
use super::ServiceMessage;
use super::State;
use super::Waiting;
use crate::Context;
use crate::recorder;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Retries as a share of real work.
const RETRIES: f64 = 0.1;
/// Copies for evidence as a share of real work.
const COPIES: f64 = 0.1;

/// Decides for one service.
struct ServiceActor;

/// What the actor starts with.
struct Arguments {
    context: Arc<Context>,
    service: ServiceName,
}

/// Starts the actor of a service.
///
/// # Errors
///
/// Those of the actor library.
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
        me: ActorRef<ServiceMessage>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments { context, service } = arguments;
        let policy = new_policy(&context, &service);
        let mut state = State {
            context,
            service,
            policy,
            lengths: Default::default(),
            waiting: HashMap::new(),
            owned: false,
            load_due: Duration::ZERO,
            me,
        };
        state.take_table();
        state.me.send_interval(TICK, || ServiceMessage::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        _me: ActorRef<ServiceMessage>,
        message: ServiceMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        state.publish();
        Ok(())
    }
}

fn new_policy(context: &Context, service: &ServiceName) -> Box<dyn Policy> {
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
        retry_ratio: RETRIES,
        mirror_ratio: COPIES,
        health: Default::default(),
        seed,
    }))
}

impl State {
    fn take(&mut self, message: ServiceMessage) {
        let now = self.context.clock.now();
        match message {
            ServiceMessage::Offer(offer) => self.take_offer(*offer),
            ServiceMessage::Finish(finish) => self.take_finish(finish),
            ServiceMessage::Table => self.take_table(),
            ServiceMessage::Place(place) => {
                self.owned = !place.owned.is_empty();
                self.policy.set_placement(&place, now);
                if !self.owned {
                    let mut loads = self.context.loads.write().expect("no holder panics");
                    loads.remove(&self.service);
                }
            }
            ServiceMessage::Hear(load) => self.policy.record_home_load(&load, now),
            ServiceMessage::Unreachable(home) => self.policy.mark_unreachable(&home, now),
            ServiceMessage::Leaving(server, leaving) => self.policy.set_leaving(&server, leaving),
            ServiceMessage::Retry(reply) => {
                let _ = reply.send(self.policy.try_spend_retry());
            }
            ServiceMessage::Servers(reply) => {
                let _ = reply.send(self.policy.server_views());
            }
            ServiceMessage::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        if !self.owned && self.waiting.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        self.policy.tick(now);
        if now < self.load_due {
            return;
        }
        self.load_due = now + self.context.settings.fleet.exchange_interval;
        let load = self.policy.home_load(now);
        let mut loads = self.context.loads.write().expect("no holder panics");
        loads.insert(self.service.clone(), load);
    }

    fn take_offer(&mut self, offer: Offer) {
        let Offer {
            mut work,
            route,
            size,
            reply,
        } = offer;
        work.duration = self
            .lengths
            .classify(&route, size, self.policy.median_duration());
        let now = self.context.clock.now();
        let key = self.policy.submit(work.clone(), now);
        let waiting = Waiting { work, route, reply };
        self.waiting.insert(key, waiting);
    }

    fn take_finish(&mut self, finish: Finish) {
        let now = self.context.clock.now();
        if let (Some(route), AttemptOutcome::Success(took)) = (&finish.route, finish.ending) {
            self.lengths.record(route, took);
        }
        self.waiting.remove(&finish.key);
        self.policy
            .finish(finish.key, finish.ending, finish.report, now);
    }

    fn take_table(&mut self) {
        let table = self.context.table();
        let rows: Vec<_> = table
            .rows()
            .filter(|row| row.key.service == self.service)
            .cloned()
            .collect();
        let floor = table.floor_percent(&self.service);
        self.policy.set_rows(&rows, table.version(), floor);
    }

    /// Sends out what was decided.
    fn publish(&mut self) {
        for decision in self.policy.take_decisions() {
            self.send(decision);
        }
        for change in self.policy.take_changes() {
            self.note(&change);
        }
    }

    fn send(&mut self, decision: Decision) {
        let key = decision.key;
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        self.record(&waiting.work, &decision);
        let Verdict::Run(grant) = &decision.verdict else {
            let guard = Guard::new(self.me.clone(), key, None);
            let _ = waiting.reply.send(Decided {
                decision,
                length: waiting.work.duration,
                guard,
                copy: None,
            });
            return;
        };
        let copy = grant.mirror.as_ref();
        let copy = copy.map(|copy| Guard::new(self.me.clone(), copy.key, None));
        let guard = Guard::new(self.me.clone(), key, Some(waiting.route));
        let _ = waiting.reply.send(Decided {
            decision,
            length: waiting.work.duration,
            guard,
            copy,
        });
    }

    fn record(&self, work: &wb_types::request::QueuedRequest, decision: &Decision) {
        let record = recorder::record(work, decision);
        let event = match &decision.verdict {
            Verdict::Run(_) => Event::Routed,
            Verdict::Forward(_) => Event::Passed,
            Verdict::Refuse(_) => Event::Refused,
        };
        emit!(
            event,
            "request={} service={} class={} caller={} target={} table={} order={} ahead={} waited_us={} candidates={}",
            work.id,
            work.row.service,
            work.row.class,
            work.caller,
            record.target,
            record.table,
            record.order,
            record.ahead,
            record.waited.as_micros(),
            record.candidates.len()
        );
        recorder::add(&self.context, record);
    }

    fn note(&self, change: &StateChange) {
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
