//! State shared by all parts of the daemon.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::watch;
use wb_allowance::Ledger;
use wb_allowance::ledger::Identity;
use wb_balance::closing::Closing;
use wb_http::Pool;
use wb_http::pool::Connector;
use wb_members::listing::Listing;
use wb_members::listing::coverage::Coverage;
use wb_members::listing::freshness::Freshness;
use wb_members::listing::freshness::Times;
use wb_members::reach::Reach;
use wb_members::registration::Registration;
use wb_members::steering::Steering;
use wb_quarantine::Quarantine;
use wb_route::RouteTable;
use wb_types::id::Moment;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;

use crate::clock;
use crate::metrics::Metrics;
use crate::peers::Packet;
use crate::platform::Catalog;
use crate::platform::DirectoryApi;
use crate::platform::Era;
use crate::platform::Headers;
use crate::proxy::buffers::Buffers;
use crate::service::Service;
use crate::settings::Settings;

/// Mutable state of the daemon.
pub struct State {
    /// Routes in use; `None` until the first are known.
    pub routes: Option<Arc<RouteTable>>,
    /// Version of the platform's table up to which the routes were read; 0 if they have to be read
    /// anew.
    pub read_version: u64,
    /// Era of the platform's last response; `None` before the first.
    pub era: Option<Era>,
    /// Peer address of an instance that has announced newer routes, and their version.
    pub newer_peer: Option<(SocketAddr, TableVersion)>,
    /// Highest version of the routes that another instance has announced, and when it last did.
    pub announced_routes: Option<(TableVersion, Moment)>,
    /// When the routes in use came into force.
    pub routes_since: Moment,
    /// Versions up to which no change of the routes is missing.
    pub routes_coverage: Coverage,
    /// When the routes were last confirmed as the newest.
    pub routes_confirmed: Moment,
    /// Server list.
    pub listing: Listing,
    /// Whether the server list is known to be complete.
    pub freshness: Freshness,
    /// Other instances, and the choice of the homes.
    pub steering: Steering,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Requests that crash the servers which run them.
    pub quarantine: Quarantine,
    /// Whether this instance reaches the servers.
    pub reach: Reach,
    /// Allowances of the teams.
    pub allowances: Ledger,
    /// The row of this instance.
    pub registration: Registration,
    /// Whether the other instances have been read, from the platform or a seed.
    pub members_read: bool,
}

/// Time for which an announcement of newer routes counts: that of a few heartbeats.
const ANNOUNCEMENT_LIFE: Duration = Duration::from_secs(1);

impl State {
    /// Whether another instance has newer routes, as it has announced a moment ago.
    pub fn has_older_routes(&self, now: Moment) -> bool {
        let own = self.routes.as_ref().map_or(0, |routes| routes.version);
        self.announced_routes.is_some_and(|(version, at)| {
            version > own && now.saturating_sub(at) < ANNOUNCEMENT_LIFE
        })
    }
}

/// State shared by all parts of the daemon.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub headers: Headers,
    /// Format of the platform's calls to the daemon.
    pub api: Arc<dyn DirectoryApi>,
    /// Tables of the platform.
    pub catalog: Arc<dyn Catalog>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Memory for bodies that are buffered.
    pub buffers: Arc<Buffers>,
    /// Connections to other instances.
    pub peer_pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Queue of datagrams to other instances, each with its destinations.
    pub outbox: tokio::sync::mpsc::Sender<(Packet, Vec<SocketAddr>)>,
    /// Wakes the task that follows the routes ahead of its schedule.
    pub routes_wakeup: Notify,
    /// Held while the platform is asked for newer routes beside the long poll.
    pub routes_check: tokio::sync::Mutex<()>,
    /// Wakes the task that follows the servers: the list may have to be read.
    pub servers_wakeup: Notify,
    /// Wakes the task that asks servers in doubt.
    pub doubts_wakeup: Notify,
    /// Wakes the task that registers this instance.
    pub rejoin: Notify,
    /// Wakes the task that admits queued requests.
    pub queue_wakeup: Notify,
    /// Wakes the task that finds out when this instance reaches the servers again.
    pub path_wakeup: Notify,
    /// Wakes the requests that wait for tokens of their team's allowance.
    pub allowance_wakeup: Notify,
    state: Mutex<State>,
    leaving: AtomicBool,
    closing: AtomicBool,
    end: watch::Sender<Option<Closing>>,
    serial: AtomicU64,
    start: Instant,
}

/// Arguments of [`Context::new`].
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Header names.
    pub headers: Headers,
    /// Format of the platform's calls to the daemon.
    pub api: Arc<dyn DirectoryApi>,
    /// Tables of the platform.
    pub catalog: Arc<dyn Catalog>,
    /// Queue of datagrams to other instances, each with its destinations.
    pub outbox: tokio::sync::mpsc::Sender<(Packet, Vec<SocketAddr>)>,
    /// Opens connections to backend servers.
    pub connector: Arc<dyn Connector>,
}

impl Context {
    /// Creates the context of a daemon that has read nothing yet.
    pub fn new(parts: Parts) -> Self {
        let steering = Steering::new(
            wb_members::steering::Options::default(),
            parts.settings.card.clone(),
        );
        let bounds = &parts.settings.bounds;
        let times = Times::within(bounds.drain.min(bounds.apply));
        let state = State {
            routes: None,
            read_version: 0,
            era: None,
            newer_peer: None,
            announced_routes: None,
            routes_since: Moment::ZERO,
            routes_coverage: Coverage::default(),
            routes_confirmed: Moment::ZERO,
            listing: Listing::new(times.proof),
            freshness: Freshness::new(times),
            steering,
            services: HashMap::new(),
            quarantine: Quarantine::default(),
            reach: Reach::new(wb_members::reach::Options::default()),
            allowances: new_ledger(&parts.settings),
            registration: Registration::new(
                parts.settings.card.incarnation,
                parts.settings.first_start,
            ),
            members_read: false,
        };
        Self {
            pool: Pool::with_connector(crate::proxy::attempt::POOL_OPTIONS, parts.connector),
            buffers: Buffers::new(parts.settings.buffers),
            peer_pool: Pool::new(wb_http::pool::Options::default()),
            settings: parts.settings,
            headers: parts.headers,
            api: parts.api,
            catalog: parts.catalog,
            metrics: Metrics::new(),
            outbox: parts.outbox,
            routes_wakeup: Notify::new(),
            routes_check: tokio::sync::Mutex::default(),
            servers_wakeup: Notify::new(),
            doubts_wakeup: Notify::new(),
            rejoin: Notify::new(),
            queue_wakeup: Notify::new(),
            path_wakeup: Notify::new(),
            allowance_wakeup: Notify::new(),
            state: Mutex::new(state),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            end: watch::Sender::new(None),
            serial: AtomicU64::new(rand::random()),
            start: Instant::now(),
        }
    }

    /// Time since the daemon started.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Locks the mutable state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the instance as leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Answers requests by `end`, and sends none that would be answered later.
    pub fn set_end(&self, end: Moment) {
        let now = self.now();
        let closing = Closing { begin: now, end };
        self.end.send_replace(Some(closing));
        let mut state = self.state();
        for service in state.services.values_mut() {
            service.balancer.close(closing);
            service.release_queued(now);
        }
    }

    /// The end of this instance; `None` if it goes on.
    pub fn closing(&self) -> Option<Closing> {
        *self.end.borrow()
    }

    /// Waits until `deadline` or until all requests have to be answered.
    pub async fn wait_until_due(&self, deadline: Moment) {
        let mut end = self.end.subscribe();
        loop {
            let due = end
                .borrow_and_update()
                .map_or(deadline, |closing| closing.end.min(deadline));
            let wait = due.saturating_sub(self.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => return,
                // The sender lives as long as the context.
                _ = end.changed() => {}
            }
        }
    }

    /// Returns the next request number, by which a split route chooses the service.
    pub fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a datagram. A full queue drops it, since datagrams may be lost anyway.
    pub fn send_packet(&self, packet: Packet, to: Vec<SocketAddr>) {
        if to.is_empty() {
            return;
        }
        if self.outbox.try_send((packet, to)).is_err() {
            self.metrics.packets_dropped.inc();
        }
    }
}

fn new_ledger(settings: &Settings) -> Ledger {
    let identity = Identity {
        name: settings.card.name.clone(),
        incarnation: settings.card.incarnation,
        first_start: settings.first_start,
    };
    Ledger::new(identity, settings.bounds.tolerance, clock::boot_time())
}
