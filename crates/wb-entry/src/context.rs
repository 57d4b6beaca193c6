//! What the parts of the daemon share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ractor::ActorRef;
use tokio::sync::watch;
use wb_claim::Claims;
use wb_claim::Passed;
use wb_claim::claims::Holder;
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

/// The daemon's actors; set once at the start.
pub struct Actors {
    /// Membership and placement.
    pub fleet: ActorRef<FleetMessage>,
    /// Policy table.
    pub table: ActorRef<TableMessage>,
    /// Decision records.
    pub recorder: ActorRef<RecorderMessage>,
}

/// What the parts of the daemon share.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: Clock,
    /// Policy table in force.
    pub table: watch::Sender<Arc<Table>>,
    /// Membership and placement.
    pub view: watch::Sender<Arc<FleetView>>,
    /// Whether the instance is leaving.
    pub leaving: watch::Sender<bool>,
    /// Actors of services.
    pub services: RwLock<HashMap<ServiceName, ActorRef<ServiceMessage>>>,
    /// Load of the services that this instance is a home of.
    pub loads: RwLock<HashMap<ServiceName, HomeLoad>>,
    /// Tickets that this process holds.
    pub claims: Mutex<Claims>,
    /// Non-idempotent work that other instances passed on.
    pub forwarded: Mutex<Passed>,
    /// Connections to backend servers.
    pub backend_pool: Pool,
    /// Connections to other instances, for work passed on.
    pub home_pool: Pool,
    /// Calls of other instances.
    pub peers: PeerClient,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Counters.
    pub metrics: Metrics,
    /// Requests so far.
    pub request_count: AtomicU64,
    /// The actors.
    pub actors: OnceLock<Actors>,
}

impl Context {
    /// The actors.
    pub fn actors(&self) -> &Actors {
        self.actors
            .get()
            .expect("actors are set before any listener runs")
    }

    /// Name of the instance.
    pub fn instance_name(&self) -> &InstanceName {
        &self.settings.instance.name
    }

    /// This process, as a holder of tickets.
    pub fn holder(&self) -> Holder {
        Holder {
            name: self.instance_name().clone(),
            incarnation: self.incarnation,
        }
    }

    /// A new request id.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.instance_name(), self.incarnation).into()
    }

    /// Policy table in force.
    pub fn table(&self) -> Arc<Table> {
        self.table.borrow().clone()
    }

    /// Membership and placement.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }
}
