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
use wb_claim::ForwardedRequests;
use wb_claim::TicketStore;
use wb_claim::store::Holder;
use wb_http::Pool;
use wb_peer::Peers;
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
use crate::fleet::View;
use crate::metrics::Metrics;
use crate::recorder::RecordMessage;
use crate::rules::RulesMessage;
use crate::service::ServiceMessage;

/// The daemon's actors; set once at the start.
pub struct Actors {
    /// Membership and placement.
    pub fleet: ActorRef<FleetMessage>,
    /// Policy table.
    pub rules: ActorRef<RulesMessage>,
    /// Decision records.
    pub recorder: ActorRef<RecordMessage>,
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
    pub view: watch::Sender<Arc<View>>,
    /// Whether the instance is leaving.
    pub leaving: watch::Sender<bool>,
    /// Actors of services.
    pub services: RwLock<HashMap<ServiceName, ActorRef<ServiceMessage>>>,
    /// Load of the services that this instance is a home of.
    pub loads: RwLock<HashMap<ServiceName, HomeLoad>>,
    /// Tickets that this process holds.
    pub claims: Mutex<TicketStore>,
    /// Non-idempotent work that other instances passed on.
    pub passed: Mutex<ForwardedRequests>,
    /// Connections to backend servers.
    pub backends: Pool,
    /// Connections to other instances, for work passed on.
    pub homes: Pool,
    /// Calls of other instances.
    pub peers: Peers,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Counters.
    pub metrics: Metrics,
    /// Requests so far.
    pub requests: AtomicU64,
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
    pub fn me(&self) -> &InstanceName {
        &self.settings.instance.name
    }

    /// This process, as a holder of tickets.
    pub fn holder(&self) -> Holder {
        Holder {
            name: self.me().clone(),
            incarnation: self.incarnation,
        }
    }

    /// A new request id.
    pub fn next_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.me(), self.incarnation).into()
    }

    /// Policy table in force.
    pub fn table(&self) -> Arc<Table> {
        self.table.borrow().clone()
    }

    /// Membership and placement.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }
}
