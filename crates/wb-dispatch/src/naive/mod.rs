//! An instance that decides alone: the version that others are compared with.
//!
//! Local counts only, first come first served, an equal part of every limit, and a server out of
//! rotation for a fixed time after a run of errors.

mod policy;

use std::time::Duration;

use rand::rngs::SmallRng;
use wb_health::StateChange;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::policy::Row;
use wb_types::roster::Server;

use crate::limit::TokenBucket;
use crate::policy::Decision;
use crate::policy::RequestKey;

/// Errors in a row after which a server is out.
const ERRORS_MAX: u32 = 5;
/// Time that a server is out.
const OUT: Duration = Duration::from_secs(30);

/// One server.
#[derive(Clone, Debug)]
struct Local {
    server: Server,
    busy: u32,
    errors: u32,
    out: Moment,
    leaving: bool,
}

/// A row's part at this instance.
#[derive(Clone, Debug)]
struct Part {
    row: Row,
    bucket: TokenBucket,
    running: u32,
}

/// A request at a server.
#[derive(Clone, Debug)]
struct Job {
    server: Option<usize>,
    part: Option<usize>,
}

/// Decisions of an instance that acts alone.
#[derive(Debug)]
pub struct Naive {
    me: InstanceName,
    service: ServiceName,
    version: TableVersion,
    fleet: usize,
    parts: Vec<Part>,
    servers: Vec<Local>,
    jobs: slotmap::SlotMap<RequestKey, Job>,
    decisions: Vec<Decision>,
    changes: Vec<StateChange>,
    order: u64,
    rng: SmallRng,
}
