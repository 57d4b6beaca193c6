//! A caller that discovers and caches instance addresses and verifies every response.

mod check;
mod discovery;
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

pub use check::expected_response;

/// Timeout for the whole response to a lookup or an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout for the whole response to an upload.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(150);

/// A request to send, and the response to expect.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Name of the service.
    pub service: String,
    /// Class to request; `None` uses the caller's default.
    pub class: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path of the URI.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Processing time at the backend server, in milliseconds.
    pub work_ms: f64,
    /// Length of the response body, in bytes.
    pub response_bytes: usize,
    /// Order id; set for requests that must not run more than once.
    pub order_id: Option<String>,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Time after which the caller gives up on the whole response.
    pub timeout: Duration,
}

/// Result of a request as the caller sees it. Reports and scenarios print the variant names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The complete, expected response.
    Good,
    /// An error response of the backend server, with its status code.
    Failed(u16),
    /// The fleet refused the request.
    Refused(Outcome, Reason),
    /// A response body that differs from the expected one.
    Wrong,
    /// A response body that ended without an error but is shorter than expected.
    Short,
    /// The connection failed or timed out before the response was complete.
    Lost,
    /// No address could be reached, so nothing was sent.
    Unsent,
}

/// Addresses of a service until their TTL expires.
#[derive(Clone, Debug)]
struct CachedAddresses {
    service: String,
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

/// A caller of the fleet.
pub struct Caller {
    key: String,
    instances: Vec<SocketAddr>,
    pool: Pool,
    cache: Mutex<Vec<CachedAddresses>>,
}

impl Caller {
    /// Creates a caller that authenticates with `key` and sends discovery requests to `instances`.
    pub fn new(key: &str, instances: Vec<SocketAddr>) -> Self {
        Self {
            key: key.to_owned(),
            instances,
            pool: Pool::new(Default::default()),
            cache: Mutex::default(),
        }
    }
}

impl RequestSpec {
    /// Creates a repeatable read (GET) with a response of 256 bytes.
    pub fn lookup(service: &str, path: &str, work_ms: f64) -> Self {
        Self {
            service: service.to_owned(),
            class: None,
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
            work_ms,
            response_bytes: 256,
            order_id: None,
            idempotency_key: None,
            timeout: RESPONSE_TIMEOUT,
        }
    }

    /// Creates an order (POST) that must not run more than once.
    pub fn order(service: &str, order_id: &str, work_ms: f64) -> Self {
        Self {
            method: Method::POST,
            body: Bytes::from(format!("order {order_id}")),
            order_id: Some(order_id.to_owned()),
            ..Self::lookup(service, "/orders", work_ms)
        }
    }

    /// Creates an upload (PUT) of `body`.
    pub fn upload(service: &str, path: &str, body: Bytes, work_ms: f64) -> Self {
        Self {
            method: Method::PUT,
            body,
            timeout: UPLOAD_TIMEOUT,
            ..Self::lookup(service, path, work_ms)
        }
    }
}
