//! Servers coming and going.

use std::sync::Arc;
use std::time::Duration;

use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::HealthMonitor;
use super::Patient;
use super::Rates;
use super::ServerKey;
use crate::Options;
use crate::baseline::Baseline;
use crate::score::Score;

/// The chart that servers follow.
const CHART: &str = include_str!("../../../../charts/server-health.yaml");
/// Time after which a server that came from another owner counts for the floor.
const SETTLE: Duration = Duration::from_secs(5);

/// How a server comes to a ward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// Known from the start of the ward.
    Known,
    /// Taken over from another owner, which may not know it yet.
    TakenOver,
    /// New to the service, and cold.
    Cold,
}

impl HealthMonitor {
    /// A ward without servers.
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

    /// Sets the floor, in percent of all slots.
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
        let warm = match arrival {
            Arrival::Cold => now + self.options.warmup,
            _ => now,
        };
        let settled = match arrival {
            Arrival::TakenOver => now + SETTLE,
            _ => now,
        };
        self.servers.insert(Patient {
            name,
            slots,
            leaving: false,
            since: now,
            warm,
            settled,
            machine: Machine::new(self.chart.clone()),
            rotation: true,
            score: Score::default(),
            flaps: 0,
            trials: 0,
            held: false,
        })
    }

    /// Forgets a server.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
    }

    /// Says whether a server is leaving.
    pub fn set_leaving(&mut self, key: ServerKey, leaving: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.leaving = leaving;
        }
    }
}
