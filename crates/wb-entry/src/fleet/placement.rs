//! Placement of services: which instances are homes and which home owns each server.

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
use super::view::FleetView;
use super::view::HomeSlots;
use super::view::MemberView;
use super::view::Placement;
use crate::Context;
use crate::service;
use crate::service::ServiceMessage;

impl State {
    /// Computes homes and owners, publishes them and notifies the actors of services whose
    /// placement changed.
    pub(super) fn update_placement(&mut self) {
        let now = self.context.clock.now();
        let live = self.members.live();
        let before = self.context.view();
        let mut view = FleetView {
            isolated: self.members.is_isolated(now),
            roster_read: self.roster_read,
            members: self.member_views(),
            advertised: self.members.advertised(now),
            live: live.clone(),
            services: HashMap::new(),
        };
        let count = self.context.settings.fleet.homes;
        for (service, servers) in self.servers_by_service() {
            let placement = compute_placement(&service, servers, &live, count);
            view.services.insert(service, placement);
        }
        let view = Arc::new(view);
        self.context.view.send_replace(view.clone());
        for (service, placement) in &view.services {
            if before.services.get(service) != Some(placement) {
                self.publish_placement(&view, service, placement);
            }
        }
    }

    fn publish_placement(&self, view: &FleetView, service: &ServiceName, placement: &Placement) {
        let own_placement = view.local_placement(&self.context, service);
        let homes: Vec<&str> = placement
            .homes
            .iter()
            .map(|slots| &*slots.home.name)
            .collect();
        emit!(
            Event::Placement,
            "service={service} homes={} owned={}",
            homes.join(","),
            own_placement.owned.len()
        );
        let running = {
            let services = self.context.services.read().expect("lock is not poisoned");
            services.get(service).cloned()
        };
        if let Some(actor) = running {
            let _ = actor.cast(ServiceMessage::PlacementChanged(own_placement));
        } else if !own_placement.owned.is_empty() {
            tokio::spawn(spawn_service(self.context.clone(), service.clone()));
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

    /// Groups the servers of the roster by service and marks those that announced that they are
    /// leaving.
    fn servers_by_service(&self) -> BTreeMap<ServiceName, Vec<Server>> {
        let mut services: BTreeMap<ServiceName, Vec<Server>> = BTreeMap::new();
        for server in &self.roster.servers {
            let mut server = server.clone();
            if self.leaving.contains(&server.service, &server.name) {
                server.lifecycle = Lifecycle::Leaving;
            }
            let servers = services.entry(server.service.clone()).or_default();
            servers.push(server);
        }
        services
    }

    /// Records that a server is leaving and notifies the actor of its service.
    pub(super) fn server_leaving(&mut self, server: &LeavingServer) {
        let now = self.context.clock.now();
        if !self.leaving.add(server, now) {
            return;
        }
        emit!(
            Event::ServerLeaving,
            "service={} server={}",
            server.service,
            server.server
        );
        self.set_leaving(server, true);
    }

    /// Clears the leaving state of servers that the roster lists as live after it listed them as
    /// leaving.
    pub(super) fn clear_returned(&mut self, before: &Roster) {
        let returned: Vec<LeavingServer> = self
            .roster
            .servers
            .iter()
            .filter(|server| server.lifecycle == Lifecycle::Live && was_leaving(before, server))
            .map(|server| LeavingServer {
                service: server.service.clone(),
                server: server.name.clone(),
            })
            .collect();
        for server in returned {
            self.leaving.forget(&server);
            self.set_leaving(&server, false);
        }
    }

    fn set_leaving(&self, server: &LeavingServer, leaving: bool) {
        let services = self.context.services.read().expect("lock is not poisoned");
        if let Some(actor) = services.get(&server.service) {
            let message = ServiceMessage::Leaving(server.server.clone(), leaving);
            let _ = actor.cast(message);
        }
    }
}

async fn spawn_service(context: Arc<Context>, service: ServiceName) {
    let _ = service::get_or_spawn(&context, &service).await;
}

fn was_leaving(before: &Roster, server: &Server) -> bool {
    let mut servers = before.servers.iter();
    servers.any(|old| {
        old.name == server.name
            && old.service == server.service
            && old.lifecycle == Lifecycle::Leaving
    })
}

fn compute_placement(
    service: &str,
    servers: Vec<Server>,
    live: &[Instance],
    count: usize,
) -> Placement {
    let homes = placement::homes(service, live, count);
    let owners = placement::owners(&servers, &homes);
    let slots_of = |home: &Instance| {
        let owned = owners.iter().filter(|owner| owner.home == home.name);
        let slots = owned.filter_map(|owner| {
            let server = servers.iter().find(|server| server.name == owner.server);
            server.map(|server| server.slots)
        });
        slots.fold(0, u32::saturating_add)
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
