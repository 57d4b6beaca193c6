//! Read-only view of membership and placement for the rest of the daemon.

use std::collections::HashMap;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use wb_dispatch::policy::LocalPlacement;
use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::member::Liveness;
use wb_types::roster::Instance;
use wb_types::roster::Server;

use crate::Context;

/// A member as shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Name of the instance.
    pub name: InstanceName,
    /// Liveness as seen by this instance.
    pub liveness: Liveness,
}

/// Homes and owners of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// Homes and the slots that each of them owns.
    pub homes: Vec<HomeSlots>,
    /// Owner of each server.
    pub owners: HashMap<ServerName, InstanceName>,
    /// Servers of the service.
    pub servers: Vec<Server>,
}

/// A home and the slots that it owns.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeSlots {
    /// Instance that is the home.
    pub home: Instance,
    /// Total slots of the servers that it owns.
    pub slots: u32,
}

/// Membership and placement at one time.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Whether no other instance answers probes.
    pub isolated: bool,
    /// Whether the roster has been read from the platform.
    pub roster_read: bool,
    /// All instances of the roster.
    pub members: Vec<MemberView>,
    /// Instances whose addresses may be given to callers.
    pub advertised: Vec<Instance>,
    /// Instances that are alive or suspect.
    pub live: Vec<Instance>,
    /// Placement of each service.
    pub services: HashMap<ServiceName, Placement>,
}

impl FleetView {
    /// Returns the placement of a service in the form that its actor uses.
    pub fn local_placement(&self, context: &Context, service: &ServiceName) -> LocalPlacement {
        let Some(placement) = self.services.get(service) else {
            return LocalPlacement::default();
        };
        let naive = context.settings.fleet.naive;
        let own_name = context.instance_name();
        let owned = placement.servers.iter().filter(|server| {
            naive
                || placement
                    .owners
                    .get(&server.name)
                    .is_some_and(|home| home == own_name)
        });
        let homes = placement.homes.iter().map(|slots| slots.home.name.clone());
        LocalPlacement {
            owned: owned.cloned().collect(),
            other_homes: homes.filter(|name| name != own_name).collect(),
            instance_count: self.live.len().max(1),
        }
    }

    /// Returns the instances that callers of a service should use, in the order in which to try
    /// them: its homes in a random order weighted by slots, or up to 8 random instances if none of
    /// its homes is available or `naive` is set.
    pub fn addresses(&self, service: &str, naive: bool) -> Vec<Instance> {
        let mut rng = rand::rng();
        let placement = self.services.get(service);
        let mut homes: Vec<(f64, Instance)> = Vec::new();
        for slots in placement.map_or(&[][..], |placement| &placement.homes) {
            let available = self
                .advertised
                .iter()
                .any(|other| other.name == slots.home.name);
            if available && slots.slots > 0 && !naive {
                let sort_key: f64 = rand::random::<f64>().powf(1.0 / f64::from(slots.slots));
                homes.push((sort_key, slots.home.clone()));
            }
        }
        if homes.is_empty() {
            let mut others = self.advertised.clone();
            others.shuffle(&mut rng);
            others.truncate(8);
            return others;
        }
        homes.sort_by(|a, b| b.0.total_cmp(&a.0));
        homes.into_iter().map(|(_, home)| home).collect()
    }
}
