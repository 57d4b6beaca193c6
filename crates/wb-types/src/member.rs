//! What instances tell each other about themselves.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::id::Incarnation;
use crate::id::InstanceName;
use crate::id::ServerName;
use crate::id::ServiceName;
use crate::id::TableVersion;
use crate::policy::RowKey;
use crate::policy::VersionedRow;

/// Liveness of an instance, in order of strength.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// Answers probes.
    Alive,
    /// Did not answer a direct and some indirect probes.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Said itself that it leaves.
    Left,
}

/// One piece of membership news.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Instance the news is about.
    pub name: InstanceName,
    /// Process start that the news is about.
    pub incarnation: Incarnation,
    /// Raised by the instance itself to refute a suspicion.
    pub revision: u32,
    /// Its liveness.
    pub liveness: Liveness,
}

/// A backend server that some instance saw leaving.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Service of the server.
    pub service: ServiceName,
    /// Name of the server.
    pub server: ServerName,
}

/// Load of one service at one of its homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeLoad {
    /// The home.
    pub home: InstanceName,
    /// The service.
    pub service: ServiceName,
    /// Free slots for short work.
    pub free_slots: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots of its servers that can take work now.
    pub healthy_slots: u32,
    /// Demand and share of each row.
    pub rows: Vec<RowLoad>,
}

/// Demand for one row at one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowLoad {
    /// The row.
    pub row: RowKey,
    /// The largest part of one of the row's limits that is asked for, 1 being the whole limit.
    pub demand: f32,
    /// Share of the row's rate that the home admits, 0 to 1.
    pub share: f32,
}

/// What one instance tells another in one exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GossipMessage {
    /// Sender.
    pub from: Option<MemberUpdate>,
    /// Version of the sender's policy table.
    pub table: TableVersion,
    /// Rows that were committed after that version while the platform could not be read.
    pub newer_rows: Vec<VersionedRow>,
    /// Membership news.
    pub members: Vec<MemberUpdate>,
    /// Backend servers seen leaving.
    pub leaving: Vec<LeavingServer>,
    /// Load of services that both are homes of.
    pub loads: Vec<HomeLoad>,
}
