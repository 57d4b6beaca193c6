//! What all parts of the daemon share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::sync::Notify;
use wb_http::Pool;
use wb_members::listing::Listing;
use wb_members::steering::Steering;
use wb_route::RouteTable;
use wb_types::id::Moment;
use wb_types::id::ServiceName;

use crate::metrics::Metrics;
use crate::peers::Packet;
use crate::platform::Catalog;
use crate::platform::DirectoryApi;
use crate::platform::Headers;
use crate::service::Service;
use crate::settings::Settings;

/// What is known at one moment.
pub struct State {
    /// Routes in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Mark up to which they are the newest.
    pub route_mark: u64,
    /// An instance that said that it has newer routes.
    pub ahead: Option<SocketAddr>,
    /// When the routes were last confirmed to be the newest.
    pub routes_seen: Moment,
    /// Backend servers.
    pub listing: Listing,
    /// When the list was last confirmed to be complete.
    pub listing_seen: Moment,
    /// Other instances.
    pub steering: Steering,
    /// Servers and waiting requests, by service.
    pub services: HashMap<ServiceName, Service>,
}

/// What all parts of the daemon share.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub headers: Headers,
    /// The platform's calls.
    pub api: Arc<dyn DirectoryApi>,
    /// The platform's tables.
    pub catalog: Arc<dyn Catalog>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Connections to other instances.
    pub peer_pool: Pool,
    /// Counters.
    pub metrics: Metrics,
    /// Packets to other instances.
    pub outbox: tokio::sync::mpsc::Sender<(Packet, Vec<SocketAddr>)>,
    /// Wakes the follower of the routes before its time.
    pub routes_due: Notify,
    /// Wakes the task that releases waiting requests.
    pub waiting: Notify,
    state: Mutex<State>,
    leaving: AtomicBool,
    closing: AtomicBool,
    serial: AtomicU64,
    start: Instant,
}

/// Parts that a [`Context`] is made of.
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub headers: Headers,
    /// The platform's calls.
    pub api: Arc<dyn DirectoryApi>,
    /// The platform's tables.
    pub catalog: Arc<dyn Catalog>,
    /// Packets to other instances.
    pub outbox: tokio::sync::mpsc::Sender<(Packet, Vec<SocketAddr>)>,
}

impl Context {
    /// The context of a daemon that knows nothing yet.
    pub fn new(parts: Parts) -> Self {
        let steering = Steering::new(
            wb_members::steering::Options::default(),
            parts.settings.card.clone(),
        );
        let state = State {
            routes: None,
            route_mark: 0,
            ahead: None,
            routes_seen: Moment::ZERO,
            listing: Listing::default(),
            listing_seen: Moment::ZERO,
            steering,
            services: HashMap::new(),
        };
        Self {
            pool: Pool::new(crate::front::attempt::POOL),
            peer_pool: Pool::new(wb_http::pool::Options::default()),
            settings: parts.settings,
            headers: parts.headers,
            api: parts.api,
            catalog: parts.catalog,
            metrics: Metrics::new(),
            outbox: parts.outbox,
            routes_due: Notify::new(),
            waiting: Notify::new(),
            state: Mutex::new(state),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            serial: AtomicU64::new(rand::random()),
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// What is known now. The guard is never held over a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Whether the instance has been told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the instance as leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether no new request is taken any more.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Takes no new request from now on.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Number of the next request.
    pub fn serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands a packet over to be sent. A full queue drops it: packets may be lost anyway.
    pub fn tell(&self, packet: Packet, to: Vec<SocketAddr>) {
        if to.is_empty() {
            return;
        }
        if self.outbox.try_send((packet, to)).is_err() {
            self.metrics.packets_dropped.inc();
        }
    }
}
