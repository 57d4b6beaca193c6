//! Datagrams between instances, in the postcard encoding. The order of variants and fields is part
//! of the format.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_allowance::Grant;
use wb_allowance::Lease;
use wb_allowance::Offer;
use wb_allowance::Question;
use wb_balance::Evidence;
use wb_balance::idle::ResetCause;
use wb_balance::limit::Observation;
use wb_balance::limit::Rate;
use wb_members::listing::Lifetime;
use wb_members::listing::ListVersion;
use wb_members::listing::Update;
use wb_members::steering::Card;
use wb_quarantine::Report;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;

use super::bytes::BytesReport;
use crate::platform::Era;

/// Largest datagram, in bytes: fits into one network packet, so that it isn't fragmented.
pub const DATAGRAM_MAX: usize = 1400;

/// Number of requests that an instance has in progress, by service and server.
pub type RequestCounts = HashMap<ServiceName, HashMap<ServerName, u32>>;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// Announces that an instance is alive, and which versions it holds.
    Heartbeat(Box<Heartbeat>),
    /// Requests that an instance has in progress.
    RequestCounts {
        /// Sender.
        from: InstanceName,
        /// Whether the counts replace all earlier ones of the sender, or only those that they name.
        full: bool,
        /// The counts.
        counts: RequestCounts,
        /// Servers that gave a complete response since the last such datagram.
        successes: HashMap<ServiceName, Vec<ServerName>>,
    },
    /// Evidence on the health of a backend server.
    Evidence {
        /// Sender.
        from: InstanceName,
        /// Service of the server.
        service: ServiceName,
        /// The server.
        server: ServerName,
        /// The evidence.
        evidence: Evidence,
    },
    /// Changes of the server list.
    Servers(Update),
    /// The sender leaves the fleet.
    Leaving {
        /// Sender.
        from: InstanceName,
    },
    /// A connection was reset when it was first used again after being idle.
    StaleConnection {
        /// Service of the server.
        service: ServiceName,
        /// Cause of the reset.
        cause: ResetCause,
    },
    /// Limits that backend servers name on the requests of all instances together.
    ServerLimits {
        /// Sender.
        from: InstanceName,
        /// The limits.
        limits: HashMap<ServiceName, Vec<LimitReport>>,
    },
    /// The platform's store has come back from an older copy.
    PlatformEra {
        /// Its era since then.
        era: Era,
    },
    /// Backend servers that have said in a response that they are leaving.
    LeavingServers {
        /// Sender.
        from: InstanceName,
        /// The servers, each with the start of its process.
        servers: Vec<(ServerName, Lifetime)>,
    },
    /// Requests that may crash the servers which run them.
    CrashReports {
        /// Sender.
        from: InstanceName,
        /// What the sender knows of them.
        reports: Vec<Report>,
    },
    /// A home asks for the lease of the receiver's part of all allowances.
    AllowanceOffer(Offer),
    /// The sender leases its part of all allowances.
    AllowanceLease(Lease),
    /// The sender asks for tokens.
    AllowanceQuestion(Question),
    /// Response to such a question.
    AllowanceGrant(Grant),
    /// Body bytes that the sender has in flight at servers which hold only so many.
    Bytes(BytesReport),
}

/// What a response says about the limit of its server, as another instance reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerName,
    /// The limit, in requests per second; `None` if it was lifted.
    pub limit: Option<Rate>,
    /// Time since the request was sent.
    pub sent_age: Duration,
    /// Time since the response arrived.
    pub seen_age: Duration,
}

impl LimitReport {
    /// The report on an observation at the time `now`.
    pub fn new(server: &ServerName, observation: Observation, now: Moment) -> Self {
        Self {
            server: server.clone(),
            limit: observation.limit,
            sent_age: now.saturating_sub(observation.sent),
            seen_age: now.saturating_sub(observation.seen),
        }
    }

    /// The observation by the receiver's clock. It seems later than it was by the time of the
    /// transfer.
    pub fn observation(&self, now: Moment) -> Observation {
        Observation {
            limit: self.limit,
            sent: now.saturating_sub(self.sent_age),
            seen: now.saturating_sub(self.seen_age),
        }
    }
}

/// Content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub card: Card,
    /// Whether the sender is a home and not leaving.
    pub is_home: bool,
    /// Whether the sender asks for a heartbeat in reply, since it has just started.
    pub wants_reply: bool,
    /// Version of the sender's routes; 0 for none.
    pub routes_version: TableVersion,
    /// Version of the sender's server list.
    pub listing_version: ListVersion,
    /// Time since the sender's server list was confirmed as complete.
    pub listing_age: Duration,
    /// Candidates for homes from which the sender receives heartbeats.
    pub candidates: Vec<InstanceName>,
    /// Digest of the sender's server list; `None` from builds that send none.
    #[serde(deserialize_with = "wb_types::wire::or_default")]
    pub listing_digest: Option<u64>,
    /// The sender's path to the servers; the default from builds that send none.
    #[serde(deserialize_with = "wb_types::wire::or_default")]
    pub path: PathReport,
}

/// Path of an instance to the backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Whether it reaches no servers.
    pub is_cut: bool,
    /// Whether it should take no callers, since it reaches no servers, or began to a moment ago.
    pub avoids_callers: bool,
    /// Time since a server last responded to it.
    pub success_age: Option<Duration>,
}
