//! Actor that maintains membership and placement.

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

use super::FleetMessage;
use super::PeerReply;
use super::exchange;
use super::exchange::SentLoads;
use super::leaving_servers::LeavingServers;
use crate::Context;
use crate::policy_table::PeerVersion;
use crate::policy_table::TableMessage;
use crate::service::ServiceMessage;

/// Time that a suspected member has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without any answered probe after which the instance considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum number of membership updates in one message.
const GOSSIP_MAX: usize = 8;

/// Actor that maintains membership and placement.
struct Fleet;

/// State of the fleet actor.
pub(super) struct State {
    pub(super) context: Arc<Context>,
    pub(super) members: Membership,
    pub(super) roster: Roster,
    pub(super) roster_read: bool,
    pub(super) leaving: LeavingServers,
    pub(super) sent_loads: HashMap<InstanceName, SentLoads>,
    isolated: bool,
    ready: bool,
    unreachable: bool,
    polling: bool,
}

/// Spawns the fleet actor.
///
/// # Errors
///
/// If the actor fails to start.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<FleetMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Fleet, context).await?;
    Ok(actor)
}

/// Returns the roster entry of this instance.
pub(super) fn own_instance(context: &Context) -> Instance {
    Instance {
        name: context.instance_name().clone(),
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
        myself: ActorRef<FleetMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        let fleet = &context.settings.fleet;
        myself.send_interval(fleet.probe_interval, || FleetMessage::Probe);
        myself.send_interval(fleet.exchange_interval, || FleetMessage::Exchange);
        myself.send_interval(context.settings.platform.poll_interval, || {
            FleetMessage::Poll
        });
        myself.cast(FleetMessage::Poll)?;
        let members = Membership::new(Options {
            instance: own_instance(&context),
            incarnation: context.incarnation,
            suspicion_timeout: SUSPICION_TIMEOUT,
            isolation_timeout: ISOLATION_TIMEOUT,
            gossip_max: GOSSIP_MAX,
            seed: context.incarnation,
        });
        Ok(State {
            context,
            members,
            roster: Roster::default(),
            roster_read: false,
            leaving: LeavingServers::default(),
            sent_loads: HashMap::new(),
            isolated: false,
            ready: false,
            unreachable: false,
            polling: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<FleetMessage>,
        message: FleetMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FleetMessage::Probe => state.probe(&myself),
            FleetMessage::Exchange => state.exchange_loads(&myself),
            FleetMessage::Poll => state.poll(&myself),
            FleetMessage::RosterPolled(roster) => state.roster_polled(roster),
            FleetMessage::PeerReplied(reply) => state.peer_replied(*reply),
            FleetMessage::ProbeFailed(name) => state.probe_failed(&name),
            FleetMessage::ServeExchange(gossip, reply) => {
                let gossip = state.serve_exchange(&gossip);
                let _ = reply.send(gossip);
            }
            FleetMessage::ServerLeaving(server) => state.server_leaving(&server),
            FleetMessage::Leave(reply) => {
                state.members.leave();
                let _ = reply.send(state.members.live());
                state.update_placement();
            }
        }
        Ok(())
    }
}

impl State {
    fn probe(&mut self, myself: &ActorRef<FleetMessage>) {
        let now = self.context.clock.now();
        let changes = self.members.tick(now);
        self.apply_changes(&changes);
        let isolated = self.members.is_isolated(now);
        let unreachable = self.members.is_unreachable();
        if isolated != self.isolated || unreachable != self.unreachable {
            self.isolated = isolated;
            self.unreachable = unreachable;
            emit!(Event::Isolated, "isolated={isolated} deaf={unreachable}");
            self.update_placement();
        }
        self.log_ready();
        if let Some(target) = self.members.next_probe() {
            let helpers = self
                .members
                .probe_helpers(&target.name, exchange::PROBE_HELPERS);
            let gossip = self.new_gossip();
            exchange::probe(
                self.context.clone(),
                myself.clone(),
                target,
                helpers,
                gossip,
            );
        } else {
            self.contact_seeds(myself);
        }
    }

    /// Logs once that the instance has read the roster and has a policy table.
    fn log_ready(&mut self) {
        let table = self.context.table().newest_version();
        if self.ready || !self.roster_read || table == 0 {
            return;
        }
        self.ready = true;
        emit!(Event::Ready, "table={table}");
    }

    /// Sends a gossip message to the configured seeds while no member is known. This is how the
    /// instance gets a policy table while the platform is unavailable.
    fn contact_seeds(&mut self, myself: &ActorRef<FleetMessage>) {
        for seed in self.context.settings.fleet.seeds.clone() {
            let gossip = self.new_gossip();
            exchange::contact_seed(self.context.clone(), myself.clone(), seed, gossip);
        }
    }

    fn poll(&mut self, myself: &ActorRef<FleetMessage>) {
        if self.polling {
            return;
        }
        self.polling = true;
        let platform = self.context.platform.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let roster = platform.roster().await.unwrap_or_default();
            let _ = myself.cast(FleetMessage::RosterPolled(roster));
        });
    }

    fn roster_polled(&mut self, roster: Roster) {
        self.polling = false;
        let empty = roster.instances.is_empty() && roster.servers.is_empty();
        if empty || (self.roster_read && roster == self.roster) {
            return;
        }
        self.roster_read = true;
        let before = std::mem::replace(&mut self.roster, roster);
        self.clear_returned(&before);
        let now = self.context.clock.now();
        self.members.set_listed(&self.roster.instances, now);
        self.update_placement();
    }

    fn peer_replied(&mut self, reply: PeerReply) {
        let now = self.context.clock.now();
        self.members.record_probe_success(now);
        self.apply_gossip(&reply.gossip, Some(&reply.peer));
    }

    fn probe_failed(&mut self, name: &InstanceName) {
        let now = self.context.clock.now();
        if self.members.is_isolated(now) {
            return;
        }
        let changes: Vec<LivenessChange> = self
            .members
            .record_probe_failure(name, now)
            .into_iter()
            .collect();
        self.apply_changes(&changes);
    }

    fn serve_exchange(&mut self, gossip: &GossipMessage) -> GossipMessage {
        if gossip.from.is_some() {
            self.members.record_inbound(self.context.clock.now());
        }
        let peer = gossip
            .from
            .as_ref()
            .and_then(|from| self.members.find(&from.name))
            .cloned();
        self.apply_gossip(gossip, peer.as_ref());
        let mut reply = self.new_gossip();
        if let Some(peer) = &peer {
            reply.loads = self.loads_for(&peer.name);
        }
        reply
    }

    fn apply_gossip(&mut self, gossip: &GossipMessage, peer: Option<&Instance>) {
        let now = self.context.clock.now();
        let mut changes = self.members.merge(&gossip.members, now);
        if let Some(from) = &gossip.from {
            changes.extend(self.members.merge_sender(from, now));
        }
        self.apply_changes(&changes);
        for server in &gossip.leaving {
            self.server_leaving(server);
        }
        let seen = PeerVersion {
            from: peer.map(|peer| peer.peers),
            version: gossip.table,
            newer_rows: gossip.newer_rows.clone(),
        };
        let actors = self.context.actors();
        let _ = actors.table.cast(TableMessage::VersionSeen(seen));
        let services = self.context.services.read().expect("lock is not poisoned");
        for load in &gossip.loads {
            if let Some(actor) = services.get(&load.service) {
                let _ = actor.cast(ServiceMessage::HomeLoad(load.clone()));
            }
        }
    }

    /// Builds a gossip message without loads.
    pub(super) fn new_gossip(&mut self) -> GossipMessage {
        let now = self.context.clock.now();
        let table = self.context.table();
        GossipMessage {
            from: Some(self.members.own_update().clone()),
            table: table.version(),
            newer_rows: table.newer_rows().to_vec(),
            members: self.members.next_gossip(),
            leaving: self.leaving.gossip(now),
            loads: Vec::new(),
        }
    }

    /// Logs changes of liveness and updates the placement if there are any.
    fn apply_changes(&mut self, changes: &[LivenessChange]) {
        for change in changes {
            emit!(
                Event::Member,
                "instance={} liveness={}",
                change.name,
                change.liveness
            );
        }
        if !changes.is_empty() {
            self.update_placement();
        }
    }
}
