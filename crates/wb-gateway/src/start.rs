//! Startup of the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::Connector;
use wb_http::pool::TcpConnector;
use wb_http::serve;
use wb_http::serve::Handler;
use wb_http::serve::serve;

use crate::Context;
use crate::Settings;
use crate::context::Parts;
use crate::directory::DirectoryHandler;
use crate::directory::MetricsHandler;
use crate::follow;
use crate::peers;
use crate::peers::snapshot::PeerHandler;
use crate::platform::Catalog;
use crate::platform::DirectoryApi;
use crate::platform::Headers;
use crate::proxy;
use crate::proxy::ProxyHandler;

/// Time after which an idle connection of a caller is closed, longer than the fifteen seconds that
/// callers may usually leave one idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which queued requests are reconsidered; short compared with the duration of a
/// request.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Implementation of the interface to the platform.
pub struct Platform {
    /// Tables of the platform.
    pub catalog: Arc<dyn Catalog>,
    /// Format of its calls to the daemon.
    pub api: Arc<dyn DirectoryApi>,
    /// Header names.
    pub headers: Headers,
}

/// A running daemon.
pub struct Daemon {
    /// State shared by all parts.
    pub context: Arc<Context>,
    stop: watch::Sender<bool>,
    /// Keeps the other listeners open until the process ends.
    _keep_open: watch::Sender<bool>,
    caller_listener: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// If a listen address can't be bound.
    pub async fn start(settings: Settings, platform: Platform) -> io::Result<Self> {
        let source = settings.source;
        Self::start_with(settings, platform, Arc::new(TcpConnector { source })).await
    }

    /// Starts a daemon whose connections to backend servers are opened by a connector.
    ///
    /// # Errors
    ///
    /// If a listen address can't be bound.
    pub async fn start_with(
        settings: Settings,
        platform: Platform,
        connector: Arc<dyn Connector>,
    ) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let (outbox, packets) = mpsc::channel(peers::socket::OUTBOX_CAPACITY);
        let context = Arc::new(Context::new(Parts {
            settings,
            headers: platform.headers,
            api: platform.api,
            catalog: platform.catalog,
            outbox,
            connector,
        }));
        line!(
            Event::Started,
            incarnation = context.settings.card.incarnation,
            callers = listen.callers,
            domain = context.settings.card.domain
        );
        let socket = Arc::new(UdpSocket::bind(listen.peers).await?);
        tokio::spawn(peers::socket::send(socket.clone(), packets));
        tokio::spawn(peers::socket::receive(socket, context.clone()));
        let (stop, stopped) = watch::channel(false);
        let (keep_open, no_stop) = watch::channel(false);
        let handler = Arc::new(DirectoryHandler(context.clone()));
        for address in [listen.ready, listen.directory].into_iter().flatten() {
            spawn_listener(&context, address, handler.clone(), no_stop.clone()).await?;
        }
        let peer_handler = Arc::new(PeerHandler(context.clone()));
        spawn_listener(&context, listen.peers, peer_handler, no_stop.clone()).await?;
        if let Some(address) = listen.metrics {
            let metrics = Arc::new(MetricsHandler(context.clone()));
            spawn_listener(&context, address, metrics, no_stop).await?;
        }
        let handler = Arc::new(ProxyHandler(context.clone()));
        let caller_listener = spawn_listener(&context, listen.callers, handler, stopped).await?;
        tokio::spawn(follow::members::run(context.clone()));
        tokio::spawn(follow::routes::run(context.clone()));
        tokio::spawn(follow::servers::run(context.clone()));
        tokio::spawn(follow::doubts::run(context.clone()));
        tokio::spawn(follow::holds::run(context.clone()));
        tokio::spawn(peers::heartbeat::run(context.clone()));
        tokio::spawn(peers::heartbeat::send_counts(context.clone()));
        tokio::spawn(peers::limits::send(context.clone()));
        tokio::spawn(peers::allowance::run(context.clone()));
        tokio::spawn(peers::quarantine::send(context.clone()));
        tokio::spawn(proxy::path::probe(context.clone()));
        tokio::spawn(release_queued(context.clone()));
        tokio::spawn(close_idle(context.clone()));
        Ok(Self {
            context,
            stop,
            _keep_open: keep_open,
            caller_listener,
        })
    }

    /// Stops accepting connections, and returns when all requests have finished.
    pub async fn drain(self) {
        // The receiver is gone if the listener has already stopped.
        let _ = self.stop.send(true);
        if let Err(err) = self.caller_listener.await {
            line!(Event::ConnectionError, error = err.to_string());
        }
        // Other instances have passed requests on over the listener for peers, which stays open.
        while self.context.metrics.requests_active.get() > 0 {
            tokio::time::sleep(QUEUE_INTERVAL).await;
        }
    }
}

async fn spawn_listener(
    context: &Context,
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let options = serve::Options {
        max_connections: context.settings.connections,
        head_timeout: IDLE_TIMEOUT,
        ..serve::Options::default()
    };
    Ok(tokio::spawn(serve(listener, options, handler, stop)))
}

/// Admits or refuses queued requests when due, until the daemon ends. Sleeps while none is queued.
async fn release_queued(context: Arc<Context>) {
    loop {
        context.queue_wakeup.notified().await;
        loop {
            tokio::time::sleep(QUEUE_INTERVAL).await;
            let now = context.now();
            let mut state = context.state();
            for service in state.services.values_mut() {
                service.release_queued(now);
            }
            let services = state.services.values();
            let waiting: usize = services
                .map(|service| service.balancer.queued_count())
                .sum();
            if waiting == 0 {
                break;
            }
        }
    }
}

async fn close_idle(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        context.pool.evict_expired();
        context.peer_pool.evict_expired();
    }
}
