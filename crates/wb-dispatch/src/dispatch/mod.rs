//! Takes the requests of one service and decides where each goes.

mod access;
mod decide;
mod finish;
mod homes;
mod init;
mod offer;
mod slots;

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

/// Settings of a [`Dispatch`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// The service.
    pub service: ServiceName,
    /// Retries, as a share of real work.
    pub retry_ratio: f64,
    /// Copies for evidence, as a share of real work.
    pub mirror_ratio: f64,
    /// Settings of the health test.
    pub health: wb_health::Options,
    /// Seed of random choices.
    pub seed: u64,
}

/// One owned server.
#[derive(Clone, Debug)]
struct Usage {
    server: Server,
    busy: u32,
    long: u32,
    /// Slots that others use, by the server's own report.
    foreign: u32,
    foreign_until: Moment,
    /// Slots beyond which the server has shed load of late.
    cap: u32,
    cap_until: Moment,
}

/// Where a request is.
#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    Running(Running),
    Passed,
    Refused,
}

/// A request at a server.
#[derive(Clone, Copy, Debug)]
struct Running {
    server: ServerKey,
    since: Moment,
    overdue: bool,
}

/// One request between offer and finish.
#[derive(Clone, Debug)]
struct Job {
    work: QueuedRequest,
    stage: Stage,
    since: Moment,
    ahead: usize,
    counted: bool,
}

/// A row and what it has admitted.
#[derive(Clone, Debug)]
struct RowState {
    row: Row,
    bucket: TokenBucket,
    demand: DemandMeter,
    share: f64,
    running: u32,
    told: Told,
}

/// What the other homes were told of a row last.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    demand: f32,
    share: f32,
}

/// Another home.
#[derive(Clone, Debug)]
struct Home {
    name: InstanceName,
    free: u32,
    waiting: u32,
    healthy: u32,
    heard: Option<Moment>,
    avoid: Moment,
    rows: Vec<RowLoad>,
}

/// Decisions for one service at one instance.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    version: TableVersion,
    rows: BTreeMap<ClassName, RowState>,
    ward: HealthMonitor,
    usage: slotmap::SecondaryMap<ServerKey, Usage>,
    jobs: slotmap::SlotMap<RequestKey, Job>,
    queues: FairQueues,
    homes: Vec<Home>,
    retries: Budget,
    copies: Budget,
    order: u64,
    placed: bool,
    told_until: Moment,
    decisions: Vec<Decision>,
    changes: Vec<StateChange>,
    rng: SmallRng,
}

/// How long a report of a server's load is believed.
const REPORT_LIFE: Duration = Duration::from_millis(500);
/// How long a server is spared after it shed load.
const SHED_LIFE: Duration = Duration::from_millis(250);
/// How long a home is avoided that could not be reached.
const AVOID_LIFE: Duration = Duration::from_millis(1000);
/// Time without news after which a home counts as silent.
const SILENCE: Duration = Duration::from_millis(1000);
