//! Creation of the dispatcher, and updates of its rows, servers and homes.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_health::HealthMonitor;
use wb_health::monitor::Arrival;
use wb_types::id::Moment;
use wb_types::id::TableVersion;
use wb_types::policy::Row;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

use super::Dispatcher;
use super::HomeState;
use super::Options;
use super::OwnedServer;
use super::RowState;
use crate::budget::Budget;
use crate::limit::DemandMeter;
use crate::limit::TokenBucket;
use crate::policy::LocalPlacement;
use crate::queue::FairQueues;

/// Maximum balance of the retry budget.
const RETRY_RESERVE: f64 = 10.0;
/// Maximum balance of the budget for mirrored requests.
const MIRROR_RESERVE: f64 = 20.0;

impl Dispatcher {
    /// Creates a dispatcher without rows, servers or homes.
    pub fn new(options: Options) -> Self {
        Self {
            health: HealthMonitor::new(options.health.clone()),
            retry_budget: Budget::new(options.retry_ratio, RETRY_RESERVE),
            mirror_budget: Budget::new(options.mirror_ratio, MIRROR_RESERVE),
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            version: 0,
            rows: Default::default(),
            servers: Default::default(),
            requests: Default::default(),
            queues: FairQueues::default(),
            homes: Vec::new(),
            order: 0,
            has_placement: false,
            refresh_due: Moment::ZERO,
            decisions: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub(super) fn apply_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32) {
        self.version = version;
        self.health.set_floor(floor);
        let equal_share = 1.0 / (self.homes.len() + 1) as f64;
        self.rows
            .retain(|class, _| rows.iter().any(|row| row.key.class == *class));
        for row in rows {
            let class = &row.key.class;
            self.queues.set_class(class, row.weight, row.wait);
            if let Some(state) = self.rows.get_mut(class) {
                state.row = row.clone();
                continue;
            }
            let state = RowState {
                row: row.clone(),
                bucket: TokenBucket::default(),
                demand: DemandMeter::default(),
                share: equal_share,
                running: 0,
                reported: Default::default(),
            };
            self.rows.insert(class.clone(), state);
        }
    }

    pub(super) fn apply_placement(&mut self, placement: &LocalPlacement, now: Moment) {
        let arrival = if self.has_placement {
            Arrival::TakenOver
        } else {
            Arrival::Known
        };
        self.has_placement = true;
        self.remove_servers(&placement.owned);
        for server in &placement.owned {
            self.upsert_server(server, arrival, now);
        }
        self.homes
            .retain(|home| placement.other_homes.contains(&home.name));
        for name in &placement.other_homes {
            if self.homes.iter().all(|home| home.name != *name) {
                self.homes.push(new_home(name.clone()));
            }
        }
    }

    fn remove_servers(&mut self, owned: &[Server]) {
        let removed: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, known)| owned.iter().all(|server| server.name != known.server.name))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.servers.remove(key);
            self.health.remove(key);
        }
    }

    fn upsert_server(&mut self, server: &Server, arrival: Arrival, now: Moment) {
        let known = self
            .servers
            .iter_mut()
            .find(|(_, owned)| owned.server.name == server.name);
        if let Some((key, owned)) = known {
            owned.server = server.clone();
            if server.lifecycle == Lifecycle::Leaving {
                self.health.set_leaving(key, true);
            }
            return;
        }
        let name = server.name.clone();
        let key = self.health.insert(name, server.slots, arrival, now);
        self.health
            .set_leaving(key, server.lifecycle == Lifecycle::Leaving);
        let owned = OwnedServer {
            server: server.clone(),
            busy: 0,
            long: 0,
            external: 0,
            external_until: Moment::ZERO,
            cap: server.slots,
            cap_until: Moment::ZERO,
        };
        self.servers.insert(key, owned);
    }
}

fn new_home(name: wb_types::id::InstanceName) -> HomeState {
    HomeState {
        name,
        free_slots: 0,
        queued: 0,
        healthy_slots: 0,
        last_report: None,
        avoid_until: Moment::ZERO,
        rows: Vec::new(),
    }
}
