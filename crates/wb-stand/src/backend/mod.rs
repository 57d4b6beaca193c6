//! Stand-in for backend servers.

mod answer;
mod handler;
mod ledger;
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

/// What is wrong with a server at the moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Knobs {
    /// Share of real work that is answered with an error.
    pub fail: f64,
    /// Factor on the time of work.
    pub slow: f64,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Sick and healthy in turn, each for this time in milliseconds; 0 for no flapping.
    pub flap_ms: u64,
    /// Share of answers that break off in the middle.
    pub cut: f64,
    /// Says that it is leaving.
    pub leaving: bool,
    /// Factor on the time of work that falls to 1 within the first ten seconds.
    pub cold: f64,
    /// Requests that wait for a slot, as a multiple of the slots, before load is shed.
    pub backlog: u32,
}

impl Default for Knobs {
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
        }
    }
}

/// Counts of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Name of the server.
    pub server: String,
    /// Requests that came, but for probes.
    pub requests: u64,
    /// Requests shed.
    pub shed: u64,
    /// Highest number of connections at a time.
    pub connections: u32,
    /// Requests that came while the server was leaving.
    pub late: u64,
    /// Slot time used, in microseconds.
    pub busy_us: u64,
}

/// One backend server.
pub struct Backend {
    server: Server,
    slots: Arc<Semaphore>,
    busy: AtomicU32,
    waiting: AtomicU32,
    knobs: Mutex<Knobs>,
    stats: Mutex<Stats>,
    ledger: Arc<Ledger>,
    started: Instant,
}
