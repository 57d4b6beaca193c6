//! Placing services anew.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use wb_event::Event;
use wb_event::emit;
use wb_members::placement;
use wb_types::id::ServiceName;
use wb_types::member::LeavingServer;
use wb_types::member::Liveness;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;
use wb_types::roster::Roster;
use wb_types::roster::Server;

use super::actor::State;
use super::view::HomeSlots;
use super::view::MemberView;
use super::view::Placement;
use super::view::View;
use crate::Context;
use crate::service;
use crate::service::ServiceMessage;

impl State {
    /// Works out homes and owners, publishes them and tells the actors whose service changed.
    pub(super) fn place(&mut self) {
        let now = self.context.clock.now();
        let live = self.members.live();
        let before = self.context.view();
        let mut view = View {
            isolated: self.members.is_isolated(now),
            listed: self.listed,
            members: self.member_views(),
            named: self.members.advertised(now),
            live: live.clone(),
            services: HashMap::new(),
        };
        let count = self.context.settings.fleet.homes;
        for (service, servers) in self.servers() {
            let placement = placement(&service, servers, &live, count);
            view.services.insert(service, placement);
        }
        let view = Arc::new(view);
        self.context.view.send_replace(view.clone());
        for (service, placement) in &view.services {
            if before.services.get(service) != Some(placement) {
                self.tell_placed(&view, service, placement);
            }
        }
    }

    fn tell_placed(&self, view: &View, service: &ServiceName, placement: &Placement) {
        let place = view.place(&self.context, service);
        let homes: Vec<&str> = placement
            .homes
            .iter()
            .map(|slots| &*slots.home.name)
            .collect();
        emit!(
            Event::Placement,
            "service={service} homes={} owned={}",
            homes.join(","),
            place.owned.len()
        );
        let known = {
            let services = self.context.services.read().expect("no holder panics");
            services.get(service).cloned()
        };
        if let Some(actor) = known {
            let _ = actor.cast(ServiceMessage::Place(place));
        } else if !place.owned.is_empty() {
            tokio::spawn(start(self.context.clone(), service.clone()));
        }
    }

    fn member_views(&self) -> Vec<MemberView> {
        let instances = self.roster.instances.iter();
        let views = instances.map(|instance| MemberView {
            name: instance.name.clone(),
            liveness: self
                .members
                .liveness(&instance.name)
                .unwrap_or(Liveness::Alive),
        });
        views.collect()
    }

    /// Servers of each service, with what is known of their leaving.
    fn servers(&self) -> BTreeMap<ServiceName, Vec<Server>> {
        let mut services: BTreeMap<ServiceName, Vec<Server>> = BTreeMap::new();
        for server in &self.roster.servers {
            let mut server = server.clone();
            if self.leavers.has(&server.service, &server.name) {
                server.lifecycle = Lifecycle::Leaving;
            }
            let servers = services.entry(server.service.clone()).or_default();
            servers.push(server);
        }
        services
    }

    /// Takes a server that is leaving.
    pub(super) fn server_leaving(&mut self, news: &LeavingServer) {
        let now = self.context.clock.now();
        if !self.leavers.add(news, now) {
            return;
        }
        emit!(
            Event::ServerLeaving,
            "service={} server={}",
            news.service,
            news.server
        );
        self.set_leaving(news, true);
    }

    /// Notes servers that the platform's list changed from leaving to live.
    pub(super) fn compare_stay(&mut self, before: &Roster) {
        let back: Vec<LeavingServer> = self
            .roster
            .servers
            .iter()
            .filter(|server| server.lifecycle == Lifecycle::Live && was_leaving(before, server))
            .map(|server| LeavingServer {
                service: server.service.clone(),
                server: server.name.clone(),
            })
            .collect();
        for news in back {
            self.leavers.forget(&news);
            self.set_leaving(&news, false);
        }
    }

    fn set_leaving(&self, news: &LeavingServer, leaving: bool) {
        let services = self.context.services.read().expect("no holder panics");
        if let Some(actor) = services.get(&news.service) {
            let message = ServiceMessage::Leaving(news.server.clone(), leaving);
            let _ = actor.cast(message);
        }
    }
}

async fn start(context: Arc<Context>, service: ServiceName) {
    let _ = service::find(&context, &service).await;
}

fn was_leaving(before: &Roster, server: &Server) -> bool {
    let mut servers = before.servers.iter();
    servers.any(|old| {
        old.name == server.name
            && old.service == server.service
            && old.lifecycle == Lifecycle::Leaving
    })
}

fn placement(service: &str, servers: Vec<Server>, live: &[Instance], count: usize) -> Placement {
    let homes = placement::homes(service, live, count);
    let owners = placement::owners(&servers, &homes);
    let slots_of = |home: &Instance| {
        let owned = owners.iter().filter(|owner| owner.home == home.name);
        let slots = owned.filter_map(|owner| {
            let server = servers.iter().find(|server| server.name == owner.server);
            server.map(|server| server.slots)
        });
        slots.sum()
    };
    let homes: Vec<HomeSlots> = homes
        .iter()
        .map(|home| HomeSlots {
            home: home.clone(),
            slots: slots_of(home),
        })
        .collect();
    let owners = owners
        .into_iter()
        .map(|owner| (owner.server, owner.home))
        .collect();
    Placement {
        homes,
        owners,
        servers,
    }
}
