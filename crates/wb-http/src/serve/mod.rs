//! Listeners for HTTP/1.1 and HTTP/2.
//!
//! A peer may send further requests before the first was answered. They are handled one after the
//! other, and answered in the same order.

mod connection;
mod read_ahead;
mod unframed;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::Request;
use http::Response;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::Body;
use crate::RequestBody;

pub use connection::ReceivedAt;

/// Pause after a failed `accept`, e.g. when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after a stop in which connections that were opened before it are accepted.
const PENDING_TIME: Duration = Duration::from_millis(20);
/// Send buffer of a connection, in bytes, which the kernel doubles. By itself it would take megabytes for a
/// peer that reads nothing.
const SEND_BUFFER: usize = 128 * 1024;

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

    /// Called when the send buffers of a listener's connections can't be bounded.
    fn listener_unbounded(&self, _reason: &str) {}
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
    /// Time after which a connection is closed if nothing more can be written to it, since its peer does
    /// not read. A peer that reads makes room in steps of about a third of the send buffer.
    pub write_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(5),
            ack_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves until `stop` becomes true, then finishes all requests in progress and returns.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) {
    // Connections inherit it.
    if let Err(err) = SockRef::from(&listener).set_send_buffer_size(SEND_BUFFER) {
        handler.listener_unbounded(&err.to_string());
    }
    let connections = Arc::new(Semaphore::new(options.max_connections));
    let server = Server {
        listener,
        options,
        handler,
        stop: stop.clone(),
    };
    let mut stopped = stop;
    tokio::select! {
        () = server.accept_all(&connections) => {}
        // An error means that the sender is gone, which also ends the listener.
        _ = stopped.wait_for(|stop| *stop) => {}
    }
    // Closing the listener resets connections that were opened but not accepted yet, with the
    // requests that they carry. Accepting them always runs into the timeout.
    let _ = tokio::time::timeout(PENDING_TIME, server.accept_all(&connections)).await;
    drop(server);
    // All permits are free when the last connection has ended.
    let all = u32::try_from(options.max_connections).unwrap_or(u32::MAX);
    let permits = connections.acquire_many(all).await;
    drop(permits.expect("the semaphore is never closed"));
}

/// A listener and what its connections need.
struct Server {
    listener: TcpListener,
    options: Options,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
}

impl Server {
    async fn accept_all(&self, connections: &Arc<Semaphore>) {
        loop {
            let permit = connections.clone().acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            match self.listener.accept().await {
                Ok((stream, peer)) => self.spawn(stream, peer, permit),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn spawn(&self, stream: tokio::net::TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        let handler = self.handler.clone();
        let connection = connection::run(stream, peer, self.options, handler, self.stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}
