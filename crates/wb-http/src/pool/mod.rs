//! Connection pool for HTTP/1.1 servers.
//!
//! Each request is sent at most once, on one connection. [`SendError::NotSent`] returns a request
//! only if no byte of it was sent. A connection whose response was abandoned is not reused.

mod connect;
mod connector;
mod metered;
mod response_body;
mod send;

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::client::conn::http1::SendRequest;

use crate::Body;

pub(crate) use connect::configure;
pub use connector::Connector;
pub use connector::TcpConnector;
use metered::Meter;
pub use response_body::ResponseBody;
pub use send::Connection;

/// Default idle timeout: four fifths of the time after which a listener closes an idle connection,
/// so that no request is sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum idle time of a connection that is reused for a request that must not be repeated.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(2);

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time after which the kernel closes a connection whose peer acknowledges nothing
    /// (`TCP_USER_TIMEOUT` and keepalive).
    pub ack_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1000),
            idle_timeout: IDLE_TIMEOUT,
            ack_timeout: Duration::from_secs(5),
        }
    }
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("not sent: {reason}")]
    NotSent {
        /// The unchanged request.
        request: Box<Request<Body>>,
        /// Description of the error.
        reason: String,
    },
    /// The request was sent at least in part, and no response head was received.
    #[error("no response: {reason}")]
    NoResponse {
        /// Description of the error.
        reason: String,
        /// Time that the connection was idle before this request, unless it was new.
        idle_time: Option<Duration>,
    },
}

/// A connection that is ready for a request.
struct IdleConnection {
    sender: SendRequest<Body>,
    guard: OpenGuard,
    idle_since: Instant,
    reused: bool,
    /// Request that was sent last.
    last: Option<RequestTag>,
    meter: Meter,
}

impl IdleConnection {
    fn idle_time(&self) -> Option<Duration> {
        self.reused.then(|| self.idle_since.elapsed())
    }
}

/// Connections to one server.
#[derive(Default)]
struct HostPool {
    idle: Vec<IdleConnection>,
    open: u32,
}

/// Counts a connection as open until the guard is dropped.
struct OpenGuard {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        if let Some(host) = hosts.get_mut(&self.address) {
            host.open -= 1;
        }
    }
}

struct Inner {
    options: Options,
    connector: Arc<dyn Connector>,
    hosts: Mutex<HashMap<SocketAddr, HostPool>>,
}

/// Connections to servers, by address. Clones share them.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

/// Tells a request from others, over all its attempts.
pub type RequestTag = u64;

/// Limits on the connection of a request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Limit of open connections to the server.
    pub max_connections: u32,
    /// Maximum idle time of a reused connection; one that was idle for long may be dead.
    pub max_idle: Duration,
    /// The request, which is not sent a second time on the same connection: a faulty server may
    /// repeat its response to the first attempt, and that can't be told from the next one.
    pub tag: Option<RequestTag>,
}

/// Response whose body returns the connection to the pool once it is read completely.
pub type PooledResponse = Response<ResponseBody>;

/// Returns the tag of a request with this id.
pub fn tag_of(id: &str) -> RequestTag {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl SendOptions {
    /// Options for a request that may or must not be sent again.
    pub fn new(max_connections: u32, repeatable: bool) -> Self {
        Self {
            max_connections,
            max_idle: if repeatable {
                Duration::MAX
            } else {
                MAX_IDLE_ONCE
            },
            tag: None,
        }
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(options: Options) -> Self {
        Self::with_connector(options, Arc::new(TcpConnector::default()))
    }

    /// Creates a pool without connections, which are opened by a connector.
    pub fn with_connector(options: Options, connector: Arc<dyn Connector>) -> Self {
        let inner = Inner {
            options,
            connector,
            hosts: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Number of open connections to a server.
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        let hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        hosts.get(&address).map_or(0, |host| host.open)
    }

    /// Whether an idle connection to a server is open.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        let idle = hosts.get(&address).map(|host| &host.idle);
        idle.is_some_and(|idle| idle.iter().any(|idle| !idle.sender.is_closed()))
    }

    /// Opens a connection to a server and keeps it for a later request.
    ///
    /// # Errors
    ///
    /// If none can be opened.
    pub async fn open(&self, address: SocketAddr, options: SendOptions) -> io::Result<()> {
        let mut idle = self.connect(address, options).await?;
        // The server may close it before it is used, as one that was used before.
        idle.reused = true;
        self.put_idle(idle);
        Ok(())
    }

    /// Closes all idle connections to a server, for use after a timeout: if one connection is dead,
    /// the others may be too.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        let host = hosts.get_mut(&address);
        let idle = host.map(|host| std::mem::take(&mut host.idle));
        drop(hosts);
        drop(idle);
    }

    /// Closes all idle connections, for use when the path to all servers is cut.
    pub fn close_all_idle(&self) {
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        let hosts_idle = hosts
            .values_mut()
            .map(|host| std::mem::take(&mut host.idle));
        let idle: Vec<Vec<IdleConnection>> = hosts_idle.collect();
        drop(hosts);
        drop(idle);
    }

    /// Closes connections that exceeded the idle timeout or were closed by the server.
    pub fn evict_expired(&self) {
        let limit = self.inner.options.idle_timeout;
        let mut expired = Vec::new();
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        for host in hosts.values_mut() {
            let (stale, fresh) = std::mem::take(&mut host.idle)
                .into_iter()
                .partition(|idle| idle.idle_since.elapsed() > limit || idle.sender.is_closed());
            host.idle = fresh;
            expired.extend::<Vec<IdleConnection>>(stale);
        }
        drop(hosts);
        drop(expired);
    }
}
