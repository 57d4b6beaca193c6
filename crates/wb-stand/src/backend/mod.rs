//! Stand-in for backend servers, with fault injection.

mod handler;
mod ledger;
mod response;
mod work;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use wb_types::roster::Server;

pub use ledger::Ledger;
pub use ledger::OrderCount;
pub use work::request_digest;
pub use work::response_body;

/// Injected faults of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerFaults {
    /// Fraction of requests, other than health checks, that fail with status 500; 0 to 1.
    pub fail: f64,
    /// Factor on the duration of each request.
    pub slow: f64,
    /// Accepts requests and never responds.
    pub silent: bool,
    /// Length of each phase, in milliseconds, if the faults alternate between active and inactive;
    /// 0 if they are always active.
    pub flap_ms: u64,
    /// Fraction of responses that are cut off in the middle, 0 to 1.
    pub cut: f64,
    /// Reports that the server is leaving.
    pub leaving: bool,
    /// Factor on the duration of requests at the start, which decreases to 1 within ten seconds.
    pub cold: f64,
    /// Limit of waiting requests, as a multiple of the slots; further ones are shed.
    pub backlog: u32,
    /// Fraction of requests that are executed and answered with the refusal of an earlier request,
    /// 0 to 1.
    pub repeat: f64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        Self {
            fail: 0.0,
            slow: 1.0,
            silent: false,
            flap_ms: 0,
            cut: 0.0,
            leaving: false,
            cold: 1.0,
            backlog: 10,
            repeat: 0.0,
        }
    }
}

/// Counters of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Service and name of the server.
    pub server: String,
    /// Requests received, without health checks.
    pub requests: u64,
    /// Requests shed.
    pub shed: u64,
    /// Highest number of concurrent connections.
    pub connections: u32,
    /// Requests received while the server was leaving.
    pub late: u64,
    /// Total time for which slots were in use, in microseconds.
    pub busy_us: u64,
}

/// Stand-in for one backend server.
pub struct Backend {
    server: Server,
    slots: Arc<Semaphore>,
    busy: AtomicU32,
    waiting: AtomicU32,
    faults: Mutex<ServerFaults>,
    stats: Mutex<Stats>,
    ledger: Arc<Ledger>,
    started: Instant,
}
