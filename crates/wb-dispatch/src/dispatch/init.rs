//! Rows, servers and homes.

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
use super::Home;
use super::Options;
use super::RowState;
use super::Usage;
use crate::budget::Budget;
use crate::limit::DemandMeter;
use crate::limit::TokenBucket;
use crate::policy::ServicePlacement;
use crate::queue::FairQueues;

/// Retries saved at most.
const RETRY_RESERVE: f64 = 10.0;
/// Copies saved at most.
const COPY_RESERVE: f64 = 20.0;

impl Dispatcher {
    /// A dispatcher without rows, servers or homes.
    pub fn new(options: Options) -> Self {
        Self {
            ward: HealthMonitor::new(options.health.clone()),
            retries: Budget::new(options.retry_ratio, RETRY_RESERVE),
            copies: Budget::new(options.mirror_ratio, COPY_RESERVE),
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            version: 0,
            rows: Default::default(),
            usage: Default::default(),
            jobs: Default::default(),
            queues: FairQueues::default(),
            homes: Vec::new(),
            order: 0,
            placed: false,
            told_until: Moment::ZERO,
            decisions: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub(super) fn take_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32) {
        self.version = version;
        self.ward.set_floor(floor);
        let even = 1.0 / (self.homes.len() + 1) as f64;
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
                share: even,
                running: 0,
                told: Default::default(),
            };
            self.rows.insert(class.clone(), state);
        }
    }

    pub(super) fn take_place(&mut self, place: &ServicePlacement, now: Moment) {
        let arrival = if self.placed {
            Arrival::TakenOver
        } else {
            Arrival::Known
        };
        self.placed = true;
        self.drop_servers(&place.owned);
        for server in &place.owned {
            self.put_server(server, arrival, now);
        }
        self.homes
            .retain(|home| place.other_homes.contains(&home.name));
        for name in &place.other_homes {
            if self.homes.iter().all(|home| home.name != *name) {
                self.homes.push(new_home(name.clone()));
            }
        }
    }

    fn drop_servers(&mut self, owned: &[Server]) {
        let gone: Vec<_> = self
            .usage
            .iter()
            .filter(|(_, usage)| owned.iter().all(|server| server.name != usage.server.name))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.usage.remove(key);
            self.ward.remove(key);
        }
    }

    fn put_server(&mut self, server: &Server, arrival: Arrival, now: Moment) {
        let known = self
            .usage
            .iter_mut()
            .find(|(_, usage)| usage.server.name == server.name);
        if let Some((key, usage)) = known {
            usage.server = server.clone();
            if server.lifecycle == Lifecycle::Leaving {
                self.ward.set_leaving(key, true);
            }
            return;
        }
        let name = server.name.clone();
        let key = self.ward.insert(name, server.slots, arrival, now);
        self.ward
            .set_leaving(key, server.lifecycle == Lifecycle::Leaving);
        let usage = Usage {
            server: server.clone(),
            busy: 0,
            long: 0,
            foreign: 0,
            foreign_until: Moment::ZERO,
            cap: server.slots,
            cap_until: Moment::ZERO,
        };
        self.usage.insert(key, usage);
    }
}

fn new_home(name: wb_types::id::InstanceName) -> Home {
    Home {
        name,
        free: 0,
        waiting: 0,
        healthy: 0,
        heard: None,
        avoid: Moment::ZERO,
        rows: Vec::new(),
    }
}
