//! All servers of one service that an instance owns.

mod access;
mod init;
mod judge;
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
    /// Key of a server in a [`Ward`].
    pub struct ServerKey;
}

/// One piece of evidence about a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// A whole answer to short work, after this time.
    Short(Duration),
    /// A whole answer to long work.
    Long,
    /// An error, a broken answer or none in time.
    Bad,
    /// Work in flight has taken far longer than usual.
    Overdue,
}

/// What changed about a server's place in the rotation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StateChange {
    /// The server.
    pub server: ServerName,
    /// State of the chart before.
    pub from: String,
    /// State of the chart after; the same if the floor held the server.
    pub to: String,
    /// Score at the decision.
    pub score: f64,
    /// Whether the floor decided.
    pub floor: bool,
}

/// One server.
#[derive(Clone, Debug)]
struct Patient {
    name: ServerName,
    slots: u32,
    leaving: bool,
    since: Moment,
    warm: Moment,
    settled: Moment,
    machine: Machine,
    rotation: bool,
    score: Score,
    flaps: u32,
    trials: u32,
    held: bool,
}

/// Shares of bad work of the servers in rotation, in order; renewed from time to time.
#[derive(Clone, Debug, Default)]
struct Rates {
    sorted: Vec<f64>,
    until: Moment,
}

/// Health of the servers of one service.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    options: Options,
    chart: Arc<Chart>,
    floor: u32,
    baseline: Baseline,
    rates: Rates,
    servers: slotmap::SlotMap<ServerKey, Patient>,
}
