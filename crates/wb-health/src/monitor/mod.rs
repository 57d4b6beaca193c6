//! Health of the servers of one service that an instance owns.

mod access;
mod evidence;
mod init;
mod tick;

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::Moment;
use wb_types::id::ServerName;

use crate::Options;
use crate::baseline::Baseline;
use crate::score::Score;

pub use init::Arrival;

slotmap::new_key_type! {
    /// Key of a server in a [`HealthMonitor`].
    pub struct ServerKey;
}

/// The result of one request as evidence about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A complete response to a short request, after this time.
    Short(Duration),
    /// A complete response to a long request.
    Long,
    /// An error, a corrupt response, or none in time.
    Failed,
    /// A request in flight has taken far longer than usual.
    Overdue,
}

/// A change of a server's health state, or an ejection that the floor prevented.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StateChange {
    /// The server.
    pub server: ServerName,
    /// State before.
    pub from: String,
    /// State after; the same if the floor prevented an ejection.
    pub to: String,
    /// Score at the decision, in nats.
    pub score: f64,
    /// Whether the floor decided: it prevented an ejection or brought the server back.
    pub floor: bool,
}

/// State of one server.
#[derive(Clone, Debug)]
struct MonitoredServer {
    name: ServerName,
    slots: u32,
    leaving: bool,
    state_since: Moment,
    warm_at: Moment,
    settled_at: Moment,
    machine: Machine,
    in_rotation: bool,
    score: Score,
    ejections: u32,
    trial_successes: u32,
    floor_held: bool,
}

/// Cached rates of bad results of the servers in rotation, in ascending order.
#[derive(Clone, Debug, Default)]
struct Rates {
    sorted: Vec<f64>,
    valid_until: Moment,
}

/// Health of the servers of one service that an instance owns.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    options: Options,
    chart: Arc<Chart>,
    floor: u32,
    baseline: Baseline,
    rates: Rates,
    servers: slotmap::SlotMap<ServerKey, MonitoredServer>,
}
