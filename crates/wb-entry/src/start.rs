//! Starting the daemon.

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
use crate::operators::Operators;
use crate::peer::Answers;
use crate::proxy::Proxy;
use crate::recorder;
use crate::rules;

/// Time for which tickets and finished records are kept.
const TICKET_LIFE: Duration = Duration::from_secs(600);
/// Records of tickets at most.
const TICKETS_MAX: usize = 100_000;
/// Bytes of answers kept for repeated requests at most.
const ANSWERS_MAX: usize = 32 * 1024 * 1024;
/// Time between two sweeps of unused connections.
const SWEEP: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    /// What its parts share.
    pub context: Arc<Context>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

impl Daemon {
    /// Starts listeners and actors.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on, or an actor can't be started.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let callers = TcpListener::bind(settings.listen.callers)
            .await
            .wrap_err("callers' address")?;
        let operators = TcpListener::bind(settings.listen.operators)
            .await
            .wrap_err("operators' address")?;
        let peers = StdListener::bind(settings.listen.peers).wrap_err("peers' address")?;
        peers.set_nonblocking(true)?;
        let bounds = settings.limits.clone();
        let (calls, pending) = wb_peer::thread::channel();
        let context = Arc::new(new_context(settings, calls));
        let actors = Actors {
            fleet: fleet::spawn(context.clone()).await?,
            rules: rules::spawn(context.clone()).await?,
            recorder: recorder::spawn(context.clone()).await?,
        };
        let set = context.actors.set(actors);
        set.unwrap_or_else(|_| unreachable!("actors are set once"));
        let answers = Arc::new(Answers::new(context.clone()));
        wb_peer::thread::start(peers, answers, pending)?;
        let (stop, stopped) = watch::channel(false);
        let options = serve::Options {
            max_connections: bounds.max_connections,
            head_timeout: bounds.head_timeout,
            ack_timeout: bounds.idle_timeout * 3,
        };
        let proxy = Arc::new(Proxy::new(context.clone()));
        let callers = tokio::spawn(serve::serve(callers, options, proxy, stopped.clone()));
        let handler = Arc::new(Operators::new(context.clone()));
        let plain = serve::Options::default();
        tokio::spawn(serve::serve(operators, plain, handler, stopped));
        tokio::spawn(sweep(context.clone()));
        emit!(
            Event::Started,
            "instance={} incarnation={:x}",
            context.me(),
            context.incarnation
        );
        Ok(Self {
            context,
            stop,
            callers,
        })
    }

    /// Takes no new connections, and waits until all requests on open ones are finished.
    pub async fn finish(self) {
        self.stop.send_replace(true);
        let _ = self.callers.await;
    }
}

async fn sweep(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        context.backends.evict_expired();
        context.homes.evict_expired();
    }
}

fn new_context(settings: Settings, peers: wb_peer::Peers) -> Context {
    let incarnation = clock::incarnation();
    let instance = settings.instance.name.clone();
    let target = Client {
        pool: Pool::new(Default::default()),
        address: settings.platform.address,
        timeout: settings.platform.timeout,
        token: None,
    };
    let claims = TicketStore::new(wb_claim::Options {
        instance,
        incarnation,
        ttl: TICKET_LIFE,
        max_records: TICKETS_MAX,
        max_bytes: ANSWERS_MAX,
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
        claims: Mutex::new(claims),
        passed: Mutex::default(),
        backends: Pool::new(Default::default()),
        homes: Pool::new(Default::default()),
        peers,
        platform: Arc::new(RemotePlatform::new(target)),
        metrics: Metrics::new(),
        requests: AtomicU64::new(0),
        actors: OnceLock::new(),
        settings,
    }
}
