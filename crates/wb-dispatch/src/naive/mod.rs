//! A policy without coordination between instances, as the baseline of comparisons.
//!
//! It knows only its own load, doesn't queue, admits an equal share of every limit, and ejects a
//! server for a fixed time after a number of consecutive errors.

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

/// Consecutive errors after which a server is ejected.
const CONSECUTIVE_ERRORS_MAX: u32 = 5;
/// Time that a server stays ejected.
const EJECTION_TIME: Duration = Duration::from_secs(30);

/// A server as known by this instance.
#[derive(Clone, Debug)]
struct LocalServer {
    server: Server,
    busy: u32,
    errors: u32,
    ejected_until: Moment,
    leaving: bool,
}

/// The share of a row's limits that this instance admits.
#[derive(Clone, Debug)]
struct LimitShare {
    row: Row,
    bucket: TokenBucket,
    running: u32,
}

/// A request at a server.
#[derive(Clone, Debug)]
struct TrackedRequest {
    server: Option<usize>,
    share: Option<usize>,
}

/// Dispatch policy of an instance that doesn't coordinate with others.
#[derive(Debug)]
pub struct Naive {
    instance: InstanceName,
    service: ServiceName,
    version: TableVersion,
    instance_count: usize,
    shares: Vec<LimitShare>,
    servers: Vec<LocalServer>,
    requests: slotmap::SlotMap<RequestKey, TrackedRequest>,
    decisions: Vec<Decision>,
    changes: Vec<StateChange>,
    order: u64,
    rng: SmallRng,
}
