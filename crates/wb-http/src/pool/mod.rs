//! Connections to servers.
//!
//! A request is handed to one connection, once. Only a request of which no byte was handed over
//! comes back as [`SendError::NotSent`]. A connection whose answer was abandoned is not used again.

mod connect;
mod response_body;
mod send;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::client::conn::http1::SendRequest;

use crate::Body;

pub(crate) use connect::tune;
pub use response_body::ResponseBody;

/// Longest time that a connection waits unused: four fifths of the time after which a listener
/// closes it, so that no request meets the close.
const IDLE: Duration = Duration::from_secs(4);

/// Time after which a connection that was unused for this long is not taken for work that must
/// not be repeated.
const REST_ONCE: Duration = Duration::from_secs(2);

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a connection waits unused.
    pub idle_timeout: Duration,
    /// Time after which the system gives up a connection whose peer acknowledges nothing.
    pub ack_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1000),
            idle_timeout: IDLE,
            ack_timeout: Duration::from_secs(5),
        }
    }
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was handed over.
    #[error("not sent: {reason}")]
    NotSent {
        /// The request, unchanged.
        request: Box<Request<Body>>,
        /// What went wrong.
        reason: String,
    },
    /// The request was handed over, and no head of an answer came.
    #[error("no answer: {reason}")]
    NoResponse {
        /// What went wrong.
        reason: String,
        /// How long the connection had waited unused, unless it was new.
        idle_time: Option<Duration>,
    },
}

/// A connection that waits for its next request.
struct IdleConnection {
    sender: SendRequest<Body>,
    guard: OpenGuard,
    since: Instant,
    used: bool,
}

impl IdleConnection {
    fn idle_time(&self) -> Option<Duration> {
        self.used.then(|| self.since.elapsed())
    }
}

/// Connections to one server.
#[derive(Default)]
struct Host {
    idle: Vec<IdleConnection>,
    open: u32,
}

/// Counts a connection as open until it is dropped.
struct OpenGuard {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        if let Some(host) = hosts.get_mut(&self.address) {
            host.open -= 1;
        }
    }
}

struct Inner {
    options: Options,
    hosts: Mutex<HashMap<SocketAddr, Host>>,
}

/// Connections to servers, by address.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

/// What a request is sent with.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Connections that may be open to the server.
    pub max_connections: u32,
    /// Longest time that a connection may have waited unused: it may have gone silent.
    pub max_idle: Duration,
}

/// Head of an answer; its body gives the connection back once it is read whole.
pub type PooledResponse = Response<ResponseBody>;

impl SendOptions {
    /// For work that can or can't be repeated.
    pub fn new(max_connections: u32, repeatable: bool) -> Self {
        Self {
            max_connections,
            max_idle: if repeatable { Duration::MAX } else { REST_ONCE },
        }
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            options,
            hosts: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Connections open to a server.
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        let hosts = self.inner.hosts.lock().expect("no holder panics");
        hosts.get(&address).map_or(0, |host| host.open)
    }

    /// Closes all unused connections to a server: one of its connections went silent, and the
    /// others may have.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        let host = hosts.get_mut(&address);
        let idle = host.map(|host| std::mem::take(&mut host.idle));
        drop(hosts);
        drop(idle);
    }

    /// Closes connections that have waited unused for too long.
    pub fn evict_expired(&self) {
        let limit = self.inner.options.idle_timeout;
        let mut old = Vec::new();
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        for host in hosts.values_mut() {
            let (stale, fresh) = std::mem::take(&mut host.idle)
                .into_iter()
                .partition(|idle| idle.since.elapsed() > limit || idle.sender.is_closed());
            host.idle = fresh;
            old.extend::<Vec<IdleConnection>>(stale);
        }
        drop(hosts);
        drop(old);
    }
}
