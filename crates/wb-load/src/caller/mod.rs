//! A caller that asks for addresses, keeps them, and checks every answer.

mod check;
mod lookup;
mod send;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use wb_http::Pool;
use wb_types::outcome::Outcome;
use wb_types::outcome::Reason;

pub use check::expected;

/// Longest wait for the answer of a lookup or an order.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest wait for the answer of an upload.
const UPLOAD_PATIENCE: Duration = Duration::from_secs(150);

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service.
    pub service: String,
    /// Class, if not the caller's own.
    pub class: Option<String>,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Time that the backend server works on it, in milliseconds.
    pub work: f64,
    /// Bytes of the answer.
    pub answer: usize,
    /// Id of an order, for work that must not repeat.
    pub order: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Longest wait of the caller for the whole answer.
    pub patience: Duration,
}

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The whole answer that belongs to it.
    Good,
    /// An error of the backend server, as an answer.
    Failed(u16),
    /// A refusal.
    Refused(Outcome, Reason),
    /// An answer that does not belong to it.
    Wrong,
    /// An answer that was shorter than declared, but ended cleanly.
    Short,
    /// The answer broke off or did not come, visibly.
    Lost,
    /// No address could be reached; nothing was sent.
    Unsent,
}

/// Addresses that a caller keeps.
#[derive(Clone, Debug)]
struct Kept {
    service: String,
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// A caller.
pub struct Caller {
    key: String,
    entries: Vec<SocketAddr>,
    pool: Pool,
    kept: Mutex<Vec<Kept>>,
}

impl Caller {
    /// A caller with a key, that knows some instances to ask.
    pub fn new(key: &str, entries: Vec<SocketAddr>) -> Self {
        Self {
            key: key.to_owned(),
            entries,
            pool: Pool::new(Default::default()),
            kept: Mutex::default(),
        }
    }
}

impl Ask {
    /// A lookup.
    pub fn lookup(service: &str, path: &str, work: f64) -> Self {
        Self {
            service: service.to_owned(),
            class: None,
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
            work,
            answer: 256,
            order: None,
            key: None,
            patience: PATIENCE,
        }
    }

    /// An order.
    pub fn order(service: &str, order: &str, work: f64) -> Self {
        Self {
            method: Method::POST,
            body: Bytes::from(format!("order {order}")),
            order: Some(order.to_owned()),
            ..Self::lookup(service, "/orders", work)
        }
    }

    /// An upload.
    pub fn upload(service: &str, path: &str, body: Bytes, work: f64) -> Self {
        Self {
            method: Method::PUT,
            body,
            patience: UPLOAD_PATIENCE,
            ..Self::lookup(service, path, work)
        }
    }
}
