//! Startup of the daemon: listeners, actors and shared state.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use eyre::Context as _;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wb_claim::TicketStore;
use wb_event::Event;
use wb_event::emit;
use wb_http::Pool;
use wb_http::client::Client;
use wb_http::serve;
use wb_platform::RemotePlatform;
use wb_settings::Settings;

use crate::Context;
use crate::clock;
use crate::context::Actors;
use crate::fleet;
use crate::metrics::Metrics;
use crate::operators::OperatorHandler;
use crate::peer::PeerHandler;
use crate::policy_table;
use crate::proxy::Proxy;
use crate::recorder;

/// Time that unused tickets and finished records are kept.
const TICKET_TTL: Duration = Duration::from_secs(600);
/// Maximum number of ticket records.
const TICKETS_MAX: usize = 100_000;
/// Maximum total size of responses kept for repeated requests, in bytes.
const RESPONSE_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Interval at which idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    /// State shared by its parts.
    pub context: Arc<Context>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

impl Daemon {
    /// Binds the listeners and starts the actors.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or an actor cannot be started.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let callers = TcpListener::bind(settings.listen.callers)
            .await
            .wrap_err("cannot listen on the address for callers")?;
        let operators = TcpListener::bind(settings.listen.operators)
            .await
            .wrap_err("cannot listen on the address for operators")?;
        let peers = StdListener::bind(settings.listen.peers)
            .wrap_err("cannot listen on the address for peers")?;
        peers.set_nonblocking(true)?;
        let limits = settings.limits.clone();
        let (calls, pending) = wb_peer::thread::channel();
        let context = Arc::new(new_context(settings, calls));
        let actors = Actors {
            fleet: fleet::spawn(context.clone()).await?,
            table: policy_table::spawn(context.clone()).await?,
            recorder: recorder::spawn(context.clone()).await?,
        };
        let set = context.actors.set(actors);
        set.unwrap_or_else(|_| unreachable!("actors are set once"));
        let handler = Arc::new(PeerHandler::new(context.clone()));
        wb_peer::thread::start(peers, handler, pending)?;
        let (stop, stopped) = watch::channel(false);
        let options = serve::Options {
            max_connections: limits.max_connections,
            head_timeout: limits.head_timeout,
            ack_timeout: limits.idle_timeout * 3,
            write_timeout: limits.idle_timeout * 2,
        };
        let proxy = Arc::new(Proxy::new(context.clone()));
        let callers = tokio::spawn(serve::serve(callers, options, proxy, stopped.clone()));
        let operator_handler = Arc::new(OperatorHandler::new(context.clone()));
        let defaults = serve::Options::default();
        tokio::spawn(serve::serve(operators, defaults, operator_handler, stopped));
        tokio::spawn(sweep_pools(context.clone()));
        emit!(
            Event::Started,
            "instance={} incarnation={:x}",
            context.instance_name(),
            context.incarnation
        );
        Ok(Self {
            context,
            stop,
            callers,
        })
    }

    /// Stops accepting connections and waits until requests on open connections have finished.
    pub async fn stop_serving(self) {
        self.stop.send_replace(true);
        let _ = self.callers.await;
    }
}

async fn sweep_pools(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        context.backend_pool.evict_expired();
        context.home_pool.evict_expired();
    }
}

fn new_context(settings: Settings, peers: wb_peer::PeerClient) -> Context {
    let incarnation = clock::new_incarnation();
    let instance = settings.instance.name.clone();
    let client = Client {
        pool: Pool::new(Default::default()),
        address: settings.platform.address,
        timeout: settings.platform.timeout,
        token: None,
    };
    let tickets = TicketStore::new(wb_claim::Options {
        instance,
        incarnation,
        ttl: TICKET_TTL,
        max_records: TICKETS_MAX,
        max_bytes: RESPONSE_BYTES_MAX,
        seed: rand::random(),
    });
    Context {
        incarnation,
        clock: clock::Clock::start(),
        table: watch::Sender::new(Default::default()),
        view: watch::Sender::new(Default::default()),
        leaving: watch::Sender::new(false),
        services: RwLock::default(),
        loads: RwLock::default(),
        tickets: Mutex::new(tickets),
        forwarded: Mutex::default(),
        backend_pool: Pool::new(Default::default()),
        home_pool: Pool::new(Default::default()),
        peers,
        platform: Arc::new(RemotePlatform::new(client)),
        metrics: Metrics::new(),
        request_count: AtomicU64::new(0),
        actors: OnceLock::new(),
        settings,
    }
}
