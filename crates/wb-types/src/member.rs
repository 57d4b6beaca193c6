//! Gossip messages between instances: membership, leaving servers and load.

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

/// Liveness of an instance. Of two updates with equal incarnation and revision, the one with the
/// higher variant wins.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// Answers probes.
    Alive,
    /// Answered neither a direct probe nor the indirect ones.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it leaves the fleet.
    Left,
}

/// Liveness of one instance, as gossiped between members.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Instance that the update is about.
    pub name: InstanceName,
    /// Process start that the update is about.
    pub incarnation: Incarnation,
    /// Counter that only the instance itself raises: to refute a suspicion or to announce that it
    /// leaves.
    pub revision: u32,
    /// Liveness of the instance.
    pub liveness: Liveness,
}

/// A backend server that announced to any instance that it is leaving.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Service of the server.
    pub service: ServiceName,
    /// Name of the server.
    pub server: ServerName,
}

/// Load of one service at one of its home instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeLoad {
    /// The home instance.
    pub home: InstanceName,
    /// The service.
    pub service: ServiceName,
    /// Free slots for short requests.
    #[serde(rename = "free")]
    pub free_slots: u32,
    /// Number of queued requests.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Slots of those servers of the home that can take requests now.
    #[serde(rename = "healthy")]
    pub healthy_slots: u32,
    /// Demand and share of each row.
    pub rows: Vec<RowLoad>,
}

/// Demand for one row at one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowLoad {
    /// The row.
    pub row: RowKey,
    /// Demand as a fraction of the row's limit that it uses most; 1 is the whole limit.
    pub demand: f32,
    /// Fraction of the row's rate that the home admits, 0 to 1.
    pub share: f32,
}

/// What one instance sends to another in a gossip exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GossipMessage {
    /// Membership state of the sender.
    pub from: Option<MemberUpdate>,
    /// Version of the sender's policy table.
    pub table: TableVersion,
    /// Rows that were committed after that version and not yet read from the platform.
    pub newer_rows: Vec<VersionedRow>,
    /// Membership updates.
    pub members: Vec<MemberUpdate>,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingServer>,
    /// Load of the services of which both instances are homes.
    pub loads: Vec<HomeLoad>,
}
