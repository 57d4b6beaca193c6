//! State shared by all parts of the daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ractor::ActorRef;
use tokio::sync::watch;
use wb_claim::ForwardedRequests;
use wb_claim::TicketStore;
use wb_claim::store::Holder;
use wb_http::Pool;
use wb_peer::PeerClient;
use wb_platform::Platform;
use wb_settings::Settings;
use wb_table::Table;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::RequestId;
use wb_types::id::ServiceName;
use wb_types::member::HomeLoad;

use crate::clock::Clock;
use crate::fleet::FleetMessage;
use crate::fleet::FleetView;
use crate::metrics::Metrics;
use crate::policy_table::TableMessage;
use crate::recorder::RecorderMessage;
use crate::service::ServiceMessage;

/// Actors that run once per process.
pub struct Actors {
    /// Membership and placement.
    pub fleet: ActorRef<FleetMessage>,
    /// Policy table and edits.
    pub table: ActorRef<TableMessage>,
    /// Decision records.
    pub recorder: ActorRef<RecorderMessage>,
}

/// State shared by all parts of the daemon.
pub struct Context {
    /// Settings from the settings file.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Current policy table.
    pub table: watch::Sender<Arc<Table>>,
    /// Current membership and placement.
    pub view: watch::Sender<Arc<FleetView>>,
    /// Whether the instance is leaving the fleet.
    pub leaving: watch::Sender<bool>,
    /// Running service actors.
    pub services: RwLock<HashMap<ServiceName, ActorRef<ServiceMessage>>>,
    /// Load of the services of which this instance is a home.
    pub loads: RwLock<HashMap<ServiceName, HomeLoad>>,
    /// Records of the tickets that this process holds.
    pub tickets: Mutex<TicketStore>,
    /// Outcomes of non-idempotent requests that other instances forwarded here.
    pub forwarded: Mutex<ForwardedRequests>,
    /// Connections to backend servers.
    pub backend_pool: Pool,
    /// Connections to other instances, for forwarded requests.
    pub home_pool: Pool,
    /// Client for calls to other instances.
    pub peers: PeerClient,
    /// Client for the platform.
    pub platform: Arc<dyn Platform>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Requests numbered so far, for request ids.
    pub request_count: AtomicU64,
    /// Actors, set once during startup.
    pub actors: OnceLock<Actors>,
}

impl Context {
    /// Returns the actors.
    ///
    /// # Panics
    ///
    /// Before [`Daemon::start`](crate::daemon::Daemon::start) has set them.
    pub fn actors(&self) -> &Actors {
        self.actors
            .get()
            .expect("actors are set before any listener runs")
    }

    /// Returns the name of this instance.
    pub fn instance_name(&self) -> &InstanceName {
        &self.settings.instance.name
    }

    /// Returns this process as a holder of tickets.
    pub fn holder(&self) -> Holder {
        Holder {
            name: self.instance_name().clone(),
            incarnation: self.incarnation,
        }
    }

    /// Generates a request id that names this instance and process.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.instance_name(), self.incarnation).into()
    }

    /// Returns the current policy table.
    pub fn table(&self) -> Arc<Table> {
        self.table.borrow().clone()
    }

    /// Returns the current membership and placement.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }
}
