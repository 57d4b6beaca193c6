//! The start of the daemon.

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
use wb_http::serve;
use wb_http::serve::Handler;
use wb_http::serve::serve;

use crate::Context;
use crate::Settings;
use crate::context::Parts;
use crate::directory::Directory;
use crate::directory::Figures;
use crate::follow;
use crate::front::Front;
use crate::peers;
use crate::peers::whole::Answers;
use crate::platform::Catalog;
use crate::platform::DirectoryApi;
use crate::platform::Headers;

/// Longest time that a caller's connection waits for its next request, above the fifteen seconds
/// that callers are usually allowed.
const IDLE: Duration = Duration::from_secs(20);
/// Time between looks at requests that wait: a small part of the time of a usual request.
const PUMP: Duration = Duration::from_millis(20);
/// Time between sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// The platform, as the daemon sees it.
pub struct Platform {
    /// Its tables.
    pub catalog: Arc<dyn Catalog>,
    /// Its calls to the daemon.
    pub api: Arc<dyn DirectoryApi>,
    /// Header names.
    pub headers: Headers,
}

/// A running daemon.
pub struct Daemon {
    /// What its parts share.
    pub context: Arc<Context>,
    stop: watch::Sender<bool>,
    /// Keeps the other listeners open until the process ends.
    _open_end: watch::Sender<bool>,
    front: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub async fn start(settings: Settings, platform: Platform) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let (outbox, packets) = mpsc::channel(peers::link::OUTBOX);
        let context = Arc::new(Context::new(Parts {
            settings,
            headers: platform.headers,
            api: platform.api,
            catalog: platform.catalog,
            outbox,
        }));
        line!(
            Event::Started,
            incarnation = context.settings.card.incarnation,
            callers = listen.callers,
            domain = context.settings.card.domain
        );
        let socket = Arc::new(UdpSocket::bind(listen.peers).await?);
        tokio::spawn(peers::link::send(socket.clone(), packets));
        tokio::spawn(peers::link::receive(socket, context.clone()));
        let (stop, stopped) = watch::channel(false);
        let (open_end, never) = watch::channel(false);
        let handler = Arc::new(Directory(context.clone()));
        for address in [listen.ready, listen.directory].into_iter().flatten() {
            open(&context, address, handler.clone(), never.clone()).await?;
        }
        let answers = Arc::new(Answers(context.clone()));
        open(&context, listen.peers, answers, never.clone()).await?;
        if let Some(address) = listen.metrics {
            let figures = Arc::new(Figures(context.clone()));
            open(&context, address, figures, never).await?;
        }
        let handler = Arc::new(Front(context.clone()));
        let front = open(&context, listen.callers, handler, stopped).await?;
        tokio::spawn(follow::members::join(context.clone()));
        tokio::spawn(follow::routes::run(context.clone()));
        tokio::spawn(follow::servers::run(context.clone()));
        tokio::spawn(peers::beat::run(context.clone()));
        tokio::spawn(peers::beat::tell_running(context.clone()));
        tokio::spawn(pump(context.clone()));
        tokio::spawn(sweep(context.clone()));
        Ok(Self {
            context,
            stop,
            _open_end: open_end,
            front,
        })
    }

    /// Takes no new connections, and returns when all requests have ended.
    pub async fn finish(self) {
        // The listener may be gone already, which is what is wanted.
        let _ = self.stop.send(true);
        if let Err(err) = self.front.await {
            line!(Event::ConnectionError, error = err.to_string());
        }
    }
}

async fn open(
    context: &Context,
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let options = serve::Options {
        max_connections: context.settings.connections,
        head_timeout: IDLE,
        ..serve::Options::default()
    };
    Ok(tokio::spawn(serve(listener, options, handler, stop)))
}

/// Releases waiting requests whose time has come, until the daemon ends.
async fn pump(context: Arc<Context>) {
    loop {
        context.waiting.notified().await;
        loop {
            tokio::time::sleep(PUMP).await;
            let now = context.now();
            let mut state = context.state();
            for service in state.services.values_mut() {
                service.pump(now);
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

async fn sweep(context: Arc<Context>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        context.pool.evict_expired();
        context.peer_pool.evict_expired();
    }
}
