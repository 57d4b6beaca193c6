//! Membership and placement as the rest of the daemon sees them.

use std::collections::HashMap;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use wb_dispatch::policy::ServicePlacement;
use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::member::Liveness;
use wb_types::roster::Instance;
use wb_types::roster::Server;

use crate::Context;

/// One member, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Its name.
    pub name: InstanceName,
    /// Its liveness.
    pub liveness: Liveness,
}

/// Homes and owners of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// Homes, each with the slots of the servers that it owns.
    pub homes: Vec<HomeSlots>,
    /// Owner of each server.
    pub owners: HashMap<ServerName, InstanceName>,
    /// Servers of the service.
    pub servers: Vec<Server>,
}

/// A home and the slots of its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeSlots {
    /// The home.
    pub home: Instance,
    /// Slots of the servers that it owns.
    pub slots: u32,
}

/// Membership and placement.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Whether no other instance answers.
    pub isolated: bool,
    /// Whether the platform's list has been read.
    pub listed: bool,
    /// All members.
    pub members: Vec<MemberView>,
    /// Instances that may be named to callers.
    pub named: Vec<Instance>,
    /// All instances that count as live.
    pub live: Vec<Instance>,
    /// Placement of each service.
    pub services: HashMap<ServiceName, Placement>,
}

impl View {
    /// Servers and homes of a service for its actor.
    pub fn place(&self, context: &Context, service: &ServiceName) -> ServicePlacement {
        let Some(placement) = self.services.get(service) else {
            return ServicePlacement::default();
        };
        let naive = context.settings.fleet.naive;
        let me = context.me();
        let owned = placement.servers.iter().filter(|server| {
            naive
                || placement
                    .owners
                    .get(&server.name)
                    .is_some_and(|home| home == me)
        });
        let homes = placement.homes.iter().map(|slots| slots.home.name.clone());
        ServicePlacement {
            owned: owned.cloned().collect(),
            other_homes: homes.filter(|name| name != me).collect(),
            instance_count: self.live.len().max(1),
        }
    }

    /// Addresses for callers of a service: its homes, drawn by their slots; others if there is
    /// no home.
    pub fn addresses(&self, service: &str, naive: bool) -> Vec<Instance> {
        let mut rng = rand::rng();
        let placement = self.services.get(service);
        let mut homes: Vec<(f64, Instance)> = Vec::new();
        for slots in placement.map_or(&[][..], |placement| &placement.homes) {
            let named = self.named.iter().any(|other| other.name == slots.home.name);
            if named && slots.slots > 0 && !naive {
                let draw: f64 = rand::random::<f64>().powf(1.0 / f64::from(slots.slots));
                homes.push((draw, slots.home.clone()));
            }
        }
        if homes.is_empty() {
            let mut others = self.named.clone();
            others.shuffle(&mut rng);
            others.truncate(8);
            return others;
        }
        homes.sort_by(|a, b| b.0.total_cmp(&a.0));
        homes.into_iter().map(|(_, home)| home).collect()
    }
}
