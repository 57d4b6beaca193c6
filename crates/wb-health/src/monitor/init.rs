//! Servers that are added and removed.

use std::sync::Arc;
use std::time::Duration;

use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::HealthMonitor;
use super::MonitoredServer;
use super::Rates;
use super::ServerKey;
use crate::Options;
use crate::baseline::Baseline;
use crate::score::Score;

/// State chart of a server's health.
const CHART: &str = include_str!("../../../../charts/server-health.yaml");
/// Time after which a server that was taken over from another owner counts for the floor.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How a server comes to a monitor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// Known from the start of the monitor.
    Known,
    /// Taken over from another owner, which may not know that yet and still eject by its own view.
    TakenOver,
    /// New to the service; it has to warm up.
    Cold,
}

impl HealthMonitor {
    /// A monitor without servers.
    pub fn new(options: Options) -> Self {
        let chart = Chart::parse(CHART).expect("the chart is tested");
        Self {
            options,
            chart: Arc::new(chart),
            floor: 0,
            baseline: Baseline::default(),
            rates: Rates::default(),
            servers: slotmap::SlotMap::with_key(),
        }
    }

    /// Sets the capacity floor, in percent of all slots.
    pub fn set_floor(&mut self, percent: u32) {
        self.floor = percent;
    }

    /// Adds a server.
    pub fn insert(
        &mut self,
        name: ServerName,
        slots: u32,
        arrival: Arrival,
        now: Moment,
    ) -> ServerKey {
        let warm_at = match arrival {
            Arrival::Cold => now + self.options.warmup,
            _ => now,
        };
        let settled_at = match arrival {
            Arrival::TakenOver => now + SETTLE_TIME,
            _ => now,
        };
        self.servers.insert(MonitoredServer {
            name,
            slots,
            leaving: false,
            state_since: now,
            warm_at,
            settled_at,
            machine: Machine::new(self.chart.clone()),
            in_rotation: true,
            score: Score::default(),
            ejections: 0,
            trial_successes: 0,
            floor_held: false,
        })
    }

    /// Removes a server.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
    }

    /// Marks a server as leaving or staying.
    pub fn set_leaving(&mut self, key: ServerKey, leaving: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.leaving = leaving;
        }
    }
}
