//! Probes of members, and exchange of load between the homes of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use wb_types::id::Moment;
use wb_types::member::GossipMessage;
use wb_types::member::HomeLoad;
use wb_types::roster::Instance;

use super::FleetMessage;
use super::PeerReply;
use super::actor::State;
use super::actor::own_instance;
use crate::Context;

/// Timeout of a direct probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of instances that are asked for an indirect probe.
pub(super) const PROBE_HELPERS: usize = 3;

/// Time after which load is sent again even if it has not changed.
const LOAD_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Load that was last sent to another home.
pub(super) struct SentLoads {
    loads: Vec<HomeLoad>,
    until: Moment,
}

/// Probes a member directly and, if it does not answer, through `helpers`.
pub(super) fn probe(
    context: Arc<Context>,
    fleet: ActorRef<FleetMessage>,
    target: Instance,
    helpers: Vec<Instance>,
    gossip: GossipMessage,
) {
    tokio::spawn(async move {
        if let Ok(gossip) = context
            .peers
            .exchange(target.peers, &gossip, DIRECT_TIMEOUT)
            .await
        {
            let peer = target;
            let reply = Box::new(PeerReply { peer, gossip });
            let _ = fleet.cast(FleetMessage::PeerReplied(reply));
            return;
        }
        let probes = helpers.iter().map(|helper| {
            let probe = context
                .peers
                .probe(helper.peers, target.peers, INDIRECT_TIMEOUT);
            Box::pin(async move { matches!(probe.await, Ok(true)).then_some(()).ok_or(()) })
        });
        let probes: Vec<_> = probes.collect();
        let reachable = !probes.is_empty() && futures::future::select_ok(probes).await.is_ok();
        if !reachable {
            let _ = fleet.cast(FleetMessage::ProbeFailed(target.name));
        }
    });
}

/// Exchanges gossip messages with a seed. Only the name and the peer address of the resulting
/// [`PeerReply::peer`] describe the seed; the other fields are those of this instance.
pub(super) fn contact_seed(
    context: Arc<Context>,
    fleet: ActorRef<FleetMessage>,
    seed: SocketAddr,
    gossip: GossipMessage,
) {
    tokio::spawn(async move {
        if let Ok(gossip) = context.peers.exchange(seed, &gossip, DIRECT_TIMEOUT).await {
            let Some(from) = &gossip.from else {
                return;
            };
            let mut peer = own_instance(&context);
            peer.name = from.name.clone();
            peer.peers = seed;
            let reply = Box::new(PeerReply { peer, gossip });
            let _ = fleet.cast(FleetMessage::PeerReplied(reply));
        }
    });
}

/// Sends load to another home and reports its reply to the fleet actor.
fn send_loads(
    context: Arc<Context>,
    fleet: ActorRef<FleetMessage>,
    peer: Instance,
    gossip: GossipMessage,
) {
    tokio::spawn(async move {
        if let Ok(gossip) = context
            .peers
            .exchange(peer.peers, &gossip, DIRECT_TIMEOUT)
            .await
        {
            let reply = Box::new(PeerReply { peer, gossip });
            let _ = fleet.cast(FleetMessage::PeerReplied(reply));
        }
    });
}

impl State {
    /// Exchanges load with each instance that is a home of the same service. Of two homes, the one
    /// with the lower name makes the call; the reply carries the load of the other.
    pub(super) fn exchange_loads(&mut self, myself: &ActorRef<FleetMessage>) {
        if self.context.settings.fleet.naive {
            return;
        }
        let mut peers: BTreeMap<_, Instance> = BTreeMap::new();
        let view = self.context.view();
        let own = self.context.instance_name();
        for placement in view.services.values() {
            let is_home = placement.homes.iter().any(|slots| slots.home.name == *own);
            for slots in &placement.homes {
                if is_home && slots.home.name > *own {
                    peers.insert(slots.home.name.clone(), slots.home.clone());
                }
            }
        }
        let now = self.context.clock.now();
        for (name, peer) in peers {
            let loads = self.loads_for(&name);
            let last = self.sent_loads.get(&name);
            let unchanged = last.is_some_and(|last| last.loads == loads && now < last.until);
            if unchanged {
                continue;
            }
            let sent = SentLoads {
                loads: loads.clone(),
                until: now + LOAD_RESEND_INTERVAL,
            };
            self.sent_loads.insert(name, sent);
            let gossip = GossipMessage {
                loads,
                ..self.new_gossip()
            };
            send_loads(self.context.clone(), myself.clone(), peer, gossip);
        }
    }

    /// Returns the load of the services of which both this instance and `other` are homes.
    pub(super) fn loads_for(&self, other: &str) -> Vec<HomeLoad> {
        let view = self.context.view();
        let loads = self.context.loads.read().expect("lock is not poisoned");
        let mut shared = Vec::new();
        for (service, load) in loads.iter() {
            let Some(placement) = view.services.get(service) else {
                continue;
            };
            let mut homes = placement.homes.iter().map(|slots| &*slots.home.name);
            if homes.any(|name| name == other) {
                shared.push(load.clone());
            }
        }
        shared
    }
}
