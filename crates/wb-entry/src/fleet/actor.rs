//! Messages of the fleet's actor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use wb_event::Event;
use wb_event::emit;
use wb_members::LivenessChange;
use wb_members::Membership;
use wb_members::Options;
use wb_types::id::InstanceName;
use wb_types::member::GossipMessage;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Roster;

use super::Answered;
use super::FleetMessage;
use super::exchange;
use super::exchange::Told;
use super::leavers::Leavers;
use crate::Context;
use crate::rules::Heard;
use crate::rules::RulesMessage;
use crate::service::ServiceMessage;

/// Time that a suspect has to refute.
const SUSPICION: Duration = Duration::from_millis(1000);
/// Time without an answer after which the instance counts itself as isolated.
const ISOLATION: Duration = Duration::from_millis(2000);
/// Pieces of membership news in one message.
const BATCH: usize = 8;

/// Keeps membership and placement.
struct Fleet;

/// State of the fleet's actor.
pub(super) struct State {
    pub(super) context: Arc<Context>,
    pub(super) members: Membership,
    pub(super) roster: Roster,
    pub(super) listed: bool,
    pub(super) leavers: Leavers,
    pub(super) told: HashMap<InstanceName, Told>,
    isolated: bool,
    ready: bool,
    deaf: bool,
    polling: bool,
}

/// Starts the fleet's actor.
///
/// # Errors
///
/// Those of the actor library.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<FleetMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Fleet, context).await?;
    Ok(actor)
}

/// This instance as others list it.
pub(super) fn myself(context: &Context) -> Instance {
    Instance {
        name: context.me().clone(),
        callers: context.settings.listen.callers,
        peers: context.settings.listen.peers,
        domain: context.settings.instance.domain.clone(),
        lifecycle: Lifecycle::Live,
    }
}

impl Actor for Fleet {
    type Msg = FleetMessage;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        me: ActorRef<FleetMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        let fleet = &context.settings.fleet;
        me.send_interval(fleet.probe_interval, || FleetMessage::Probe);
        me.send_interval(fleet.exchange_interval, || FleetMessage::Exchange);
        me.send_interval(context.settings.platform.poll_interval, || {
            FleetMessage::Poll
        });
        me.cast(FleetMessage::Poll)?;
        let members = Membership::new(Options {
            instance: myself(&context),
            incarnation: context.incarnation,
            suspicion_timeout: SUSPICION,
            isolation_timeout: ISOLATION,
            gossip_max: BATCH,
            seed: context.incarnation,
        });
        Ok(State {
            context,
            members,
            roster: Roster::default(),
            listed: false,
            leavers: Leavers::default(),
            told: HashMap::new(),
            isolated: false,
            ready: false,
            deaf: false,
            polling: false,
        })
    }

    async fn handle(
        &self,
        me: ActorRef<FleetMessage>,
        message: FleetMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FleetMessage::Probe => state.probe(&me),
            FleetMessage::Exchange => state.exchange(&me),
            FleetMessage::Poll => state.poll(&me),
            FleetMessage::Listed(roster) => state.listed(roster),
            FleetMessage::Answered(answered) => state.answered(*answered),
            FleetMessage::Failed(name) => state.failed(&name),
            FleetMessage::Heard(news, reply) => {
                let answer = state.heard(&news);
                let _ = reply.send(answer);
            }
            FleetMessage::ServerLeaving(news) => state.server_leaving(&news),
            FleetMessage::Leave(reply) => {
                state.members.leave();
                let _ = reply.send(state.members.live());
                state.place();
            }
        }
        Ok(())
    }
}

impl State {
    fn probe(&mut self, me: &ActorRef<FleetMessage>) {
        let now = self.context.clock.now();
        let changes = self.members.tick(now);
        self.note(&changes);
        let isolated = self.members.is_isolated(now);
        let deaf = self.members.is_unreachable();
        if isolated != self.isolated || deaf != self.deaf {
            self.isolated = isolated;
            self.deaf = deaf;
            emit!(Event::Isolated, "isolated={isolated} deaf={deaf}");
            self.place();
        }
        self.tell_ready();
        if let Some(target) = self.members.next_probe() {
            let helpers = self.members.probe_helpers(&target.name, exchange::HELPERS);
            let news = self.news();
            exchange::probe(self.context.clone(), me.clone(), target, helpers, news);
        } else {
            self.ask_seeds(me);
        }
    }

    /// Logs that the instance has all it needs, once.
    fn tell_ready(&mut self) {
        let table = self.context.table().newest_version();
        if self.ready || !self.listed || table == 0 {
            return;
        }
        self.ready = true;
        emit!(Event::Ready, "table={table}");
    }

    /// Without any member, asks the seeds for the policy table.
    fn ask_seeds(&mut self, me: &ActorRef<FleetMessage>) {
        for seed in self.context.settings.fleet.seeds.clone() {
            let news = self.news();
            exchange::greet(self.context.clone(), me.clone(), seed, news);
        }
    }

    fn poll(&mut self, me: &ActorRef<FleetMessage>) {
        if self.polling {
            return;
        }
        self.polling = true;
        let platform = self.context.platform.clone();
        let me = me.clone();
        tokio::spawn(async move {
            let roster = platform.roster().await.unwrap_or_default();
            let _ = me.cast(FleetMessage::Listed(roster));
        });
    }

    fn listed(&mut self, roster: Roster) {
        self.polling = false;
        let empty = roster.instances.is_empty() && roster.servers.is_empty();
        if empty || (self.listed && roster == self.roster) {
            return;
        }
        self.listed = true;
        let before = std::mem::replace(&mut self.roster, roster);
        self.compare_stay(&before);
        let now = self.context.clock.now();
        self.members.set_listed(&self.roster.instances, now);
        self.place();
    }

    fn answered(&mut self, answered: Answered) {
        let now = self.context.clock.now();
        self.members.record_probe_answer(now);
        self.take_news(&answered.news, Some(&answered.peer));
    }

    fn failed(&mut self, name: &InstanceName) {
        let now = self.context.clock.now();
        if self.members.is_isolated(now) {
            return;
        }
        let changes: Vec<LivenessChange> = self
            .members
            .record_probe_failure(name, now)
            .into_iter()
            .collect();
        self.note(&changes);
    }

    fn heard(&mut self, news: &GossipMessage) -> GossipMessage {
        if news.from.is_some() {
            self.members.record_inbound(self.context.clock.now());
        }
        let peer = news
            .from
            .as_ref()
            .and_then(|from| self.members.find(&from.name))
            .cloned();
        self.take_news(news, peer.as_ref());
        let mut answer = self.news();
        if let Some(peer) = &peer {
            answer.loads = self.loads_for(&peer.name);
        }
        answer
    }

    fn take_news(&mut self, news: &GossipMessage, peer: Option<&Instance>) {
        let now = self.context.clock.now();
        let mut changes = self.members.merge(&news.members, now);
        if let Some(from) = &news.from {
            changes.extend(self.members.merge_sender(from, now));
        }
        self.note(&changes);
        for leaver in &news.leaving {
            self.server_leaving(leaver);
        }
        let heard = Heard {
            from: peer.map(|peer| peer.peers),
            version: news.table,
            extra: news.newer_rows.clone(),
        };
        let actors = self.context.actors();
        let _ = actors.rules.cast(RulesMessage::Heard(heard));
        let services = self.context.services.read().expect("no holder panics");
        for load in &news.loads {
            if let Some(actor) = services.get(&load.service) {
                let _ = actor.cast(ServiceMessage::Hear(load.clone()));
            }
        }
    }

    /// News for one message, without loads.
    pub(super) fn news(&mut self) -> GossipMessage {
        let now = self.context.clock.now();
        let table = self.context.table();
        GossipMessage {
            from: Some(self.members.own_update().clone()),
            table: table.version(),
            newer_rows: table.newer_rows().to_vec(),
            members: self.members.next_gossip(),
            leaving: self.leavers.news(now),
            loads: Vec::new(),
        }
    }

    /// Logs changes of liveness and places anew if any was one.
    fn note(&mut self, changes: &[LivenessChange]) {
        for change in changes {
            emit!(
                Event::Member,
                "instance={} liveness={}",
                change.name,
                change.liveness
            );
        }
        if !changes.is_empty() {
            self.place();
        }
    }
}
