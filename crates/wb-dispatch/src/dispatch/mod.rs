//! The dispatcher: decides where each request of one service is sent.

mod access;
mod decide;
mod finish;
mod homes;
mod init;
mod slots;
mod submit;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use wb_health::HealthMonitor;
use wb_health::ServerKey;
use wb_health::StateChange;
use wb_types::id::ClassName;
use wb_types::id::DomainName;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::member::RowLoad;
use wb_types::policy::Row;
use wb_types::request::QueuedRequest;
use wb_types::roster::Server;

use crate::budget::Budget;
use crate::limit::DemandMeter;
use crate::limit::TokenBucket;
use crate::policy::Decision;
pub use crate::policy::RequestKey;
use crate::queue::FairQueues;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Name of the service.
    pub service: ServiceName,
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Maximum ratio of mirrored requests to requests.
    pub mirror_ratio: f64,
    /// Settings of the health monitor.
    pub health: wb_health::Options,
    /// Seed of the random choices.
    pub seed: u64,
}

/// A backend server that this instance owns, and its use.
#[derive(Clone, Debug)]
struct OwnedServer {
    server: Server,
    /// Slots that this instance uses.
    busy: u32,
    /// Those of them that long requests use.
    long: u32,
    /// Slots that others use, according to the server's last report.
    external: u32,
    external_until: Moment,
    /// Slots in use when the server last shed load; more are not used until `cap_until`.
    cap: u32,
    cap_until: Moment,
}

/// State of a request.
#[derive(Clone, Debug)]
enum Stage {
    Queued,
    Running(Running),
    Forwarded,
    Refused,
}

/// A request that is running at a server.
#[derive(Clone, Copy, Debug)]
struct Running {
    server: ServerKey,
    started: Moment,
    overdue: bool,
}

/// A request between submission and finish.
#[derive(Clone, Debug)]
struct TrackedRequest {
    request: QueuedRequest,
    stage: Stage,
    submitted: Moment,
    /// Number of queued requests of the same expected duration when it was submitted.
    ahead: usize,
    /// Whether it counts among the running requests of its row.
    counted: bool,
}

/// A row, and the use of its limits at this home.
#[derive(Clone, Debug)]
struct RowState {
    row: Row,
    bucket: TokenBucket,
    demand: DemandMeter,
    /// Share of the limits that this home admits, 0 to 1.
    share: f64,
    /// Admitted requests that are not finished, including queued ones.
    running: u32,
    reported: ReportedLoad,
}

/// Load of a row that was last reported to the other homes.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    demand: f32,
    share: f32,
}

/// Another home and its last reported load.
#[derive(Clone, Debug)]
struct HomeState {
    name: InstanceName,
    free_slots: u32,
    queued: u32,
    healthy_slots: u32,
    last_report: Option<Moment>,
    avoid_until: Moment,
    rows: Vec<RowLoad>,
}

/// Dispatch policy for one service at one instance.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    version: TableVersion,
    rows: BTreeMap<ClassName, RowState>,
    health: HealthMonitor,
    servers: slotmap::SecondaryMap<ServerKey, OwnedServer>,
    requests: slotmap::SlotMap<RequestKey, TrackedRequest>,
    queues: FairQueues,
    homes: Vec<HomeState>,
    retry_budget: Budget,
    mirror_budget: Budget,
    /// Number of decisions.
    order: u64,
    /// Whether a placement was set. Servers that later placements add come from other instances.
    has_placement: bool,
    /// When the next load report with all rows is due.
    refresh_due: Moment,
    decisions: Vec<Decision>,
    changes: Vec<StateChange>,
    rng: SmallRng,
}

/// Time that a server's load report is used.
const SERVER_LOAD_TTL: Duration = Duration::from_millis(500);
/// Time that a server's slots stay limited after it shed load.
const SHED_CAP_TTL: Duration = Duration::from_millis(250);
/// Time that a home is avoided after it could not be reached.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1000);
/// Age at which the last report of a home is out of date: its free slots no longer count, and its
/// share of the limits stays reserved.
const HOME_LOAD_TTL: Duration = Duration::from_millis(1000);
