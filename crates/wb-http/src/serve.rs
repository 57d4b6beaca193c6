//! Listeners for HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::Body;
use crate::RequestBody;
use crate::pool::configure;

/// Size limit of a request head, in bytes.
const HEAD_MAX: usize = 64 * 1024;
/// Pause after a failed `accept`, e.g. when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Handles the requests of a listener.
pub trait Handler: Send + Sync {
    /// Handles one request of a peer.
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Called when a connection ended with an error.
    fn connection_failed(&self, _peer: SocketAddr, _reason: &str) {}
}

/// Settings of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Timeout for a request head; also the idle timeout of a connection.
    pub head_timeout: Duration,
    /// Time after which the kernel closes a connection whose peer acknowledges nothing
    /// (`TCP_USER_TIMEOUT` and keepalive).
    pub ack_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(5),
            ack_timeout: Duration::from_secs(30),
        }
    }
}

/// Serves until `stop` becomes true, then finishes all requests in progress and returns.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    handler: Arc<dyn Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let connections = Arc::new(Semaphore::new(options.max_connections));
    loop {
        let permit = connections.clone().acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = connection(stream, peer, options, handler.clone(), &graceful);
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    options: Options,
    handler: Arc<dyn Handler>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    let configured = configure(&stream, options.ack_timeout);
    let service_handler = handler.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let response = service_handler
            .clone()
            .handle(RequestBody::wrap(request), peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(HEAD_MAX)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(options.ack_timeout / 3)
        .max_header_list_size(HEAD_MAX as u32);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    async move {
        if let Err(err) = configured {
            handler.connection_failed(peer, &err.to_string());
        }
        if let Err(err) = watched.await {
            handler.connection_failed(peer, &err.to_string());
        }
    }
}
