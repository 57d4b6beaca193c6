//! Probes, and exchanges among homes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use wb_types::id::Moment;
use wb_types::member::GossipMessage;
use wb_types::member::HomeLoad;
use wb_types::roster::Instance;

use super::Answered;
use super::FleetMessage;
use super::actor::State;
use super::actor::myself;
use crate::Context;

/// Longest wait for the answer to a direct probe.
const DIRECT: Duration = Duration::from_millis(300);
/// Longest wait for the answer to an indirect probe.
const INDIRECT: Duration = Duration::from_millis(500);
/// Instances that are asked for an indirect probe.
pub(super) const HELPERS: usize = 3;

/// Time after which load is told even if it is the same.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// What another home was told last.
pub(super) struct Told {
    loads: Vec<HomeLoad>,
    until: Moment,
}

/// Probes a member directly, then through others.
pub(super) fn probe(
    context: Arc<Context>,
    fleet: ActorRef<FleetMessage>,
    target: Instance,
    helpers: Vec<Instance>,
    news: GossipMessage,
) {
    tokio::spawn(async move {
        if let Ok(news) = context.peers.exchange(target.peers, &news, DIRECT).await {
            let peer = target;
            let answered = Box::new(Answered { peer, news });
            let _ = fleet.cast(FleetMessage::Answered(answered));
            return;
        }
        let asked = helpers.iter().map(|helper| {
            let asked = context.peers.probe(helper.peers, target.peers, INDIRECT);
            Box::pin(async move { matches!(asked.await, Ok(true)).then_some(()).ok_or(()) })
        });
        let asked: Vec<_> = asked.collect();
        let seen = !asked.is_empty() && futures::future::select_ok(asked).await.is_ok();
        if !seen {
            let _ = fleet.cast(FleetMessage::Failed(target.name));
        }
    });
}

/// Greets an address of which only the number is known.
pub(super) fn greet(
    context: Arc<Context>,
    fleet: ActorRef<FleetMessage>,
    seed: SocketAddr,
    news: GossipMessage,
) {
    tokio::spawn(async move {
        if let Ok(news) = context.peers.exchange(seed, &news, DIRECT).await {
            let Some(from) = &news.from else {
                return;
            };
            let mut peer = myself(&context);
            peer.name = from.name.clone();
            peer.peers = seed;
            let answered = Box::new(Answered { peer, news });
            let _ = fleet.cast(FleetMessage::Answered(answered));
        }
    });
}

/// Sends load to one other home.
fn tell(context: Arc<Context>, fleet: ActorRef<FleetMessage>, peer: Instance, news: GossipMessage) {
    tokio::spawn(async move {
        if let Ok(news) = context.peers.exchange(peer.peers, &news, DIRECT).await {
            let answered = Box::new(Answered { peer, news });
            let _ = fleet.cast(FleetMessage::Answered(answered));
        }
    });
}

impl State {
    /// Exchanges load with each instance that is a home of the same service. Of each two, the
    /// one with the lower name calls; the answer carries the other's load.
    pub(super) fn exchange(&mut self, me: &ActorRef<FleetMessage>) {
        if self.context.settings.fleet.naive {
            return;
        }
        let mut peers: BTreeMap<_, Instance> = BTreeMap::new();
        let view = self.context.view();
        let mine = self.context.me();
        for placement in view.services.values() {
            let home = placement.homes.iter().any(|slots| slots.home.name == *mine);
            for slots in &placement.homes {
                if home && slots.home.name > *mine {
                    peers.insert(slots.home.name.clone(), slots.home.clone());
                }
            }
        }
        let now = self.context.clock.now();
        for (name, peer) in peers {
            let loads = self.loads_for(&name);
            let told = self.told.get(&name);
            let same = told.is_some_and(|told| told.loads == loads && now < told.until);
            if same {
                continue;
            }
            let told = Told {
                loads: loads.clone(),
                until: now + HEARTBEAT,
            };
            self.told.insert(name, told);
            let news = GossipMessage {
                loads,
                ..self.news()
            };
            tell(self.context.clone(), me.clone(), peer, news);
        }
    }

    /// Load of the services that both this instance and another are homes of.
    pub(super) fn loads_for(&self, other: &str) -> Vec<HomeLoad> {
        let view = self.context.view();
        let loads = self.context.loads.read().expect("no holder panics");
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
