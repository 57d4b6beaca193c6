//! One connection of a listener.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Sleep;

use super::Handler;
use super::Options;
use super::read_ahead;
use super::read_ahead::Monitor;
use super::unframed;
use crate::RequestBody;
use crate::pool::configure;

/// Size limit of a request head, in bytes.
const HEAD_MAX: usize = 64 * 1024;
/// Time for which a new connection is kept after a stop, in case its first request is on the way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Time for which a closed connection is read until the peer has received the last response: some
/// round trips between regions.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most bytes that are read from a closed connection.
const LINGER_MAX: usize = 1024 * 1024;
/// Bytes of the responses of one connection that wait to be sent, for each of its streams.
const UNSENT_MAX: usize = 64 * 1024;

/// When the bytes of a request were received, as an extension of the request. A request may wait
/// behind others on its connection before its handler is called.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAt(pub Instant);

/// Requests of a connection.
#[derive(Default)]
struct Requests {
    started: AtomicUsize,
    in_progress: AtomicUsize,
    first: Notify,
}

/// Counts a request in progress until it is dropped.
struct InProgress(Arc<Requests>);

impl InProgress {
    fn start(requests: &Arc<Requests>) -> Self {
        requests.started.fetch_add(1, Ordering::Relaxed);
        requests.in_progress.fetch_add(1, Ordering::Relaxed);
        requests.first.notify_one();
        Self(requests.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Ends a connection whose peer reads nothing.
struct Blocked<'a> {
    monitor: &'a Monitor,
    timeout: Duration,
    /// End of the time in which something must be written, if nothing can be written now.
    due: Option<Pin<Box<Sleep>>>,
}

impl<'a> Blocked<'a> {
    fn new(monitor: &'a Monitor, timeout: Duration) -> Self {
        Self {
            monitor,
            timeout,
            due: None,
        }
    }

    /// Whether nothing could be written for the whole timeout.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(since) = self.monitor.blocked() else {
            self.due = None;
            return false;
        };
        let end = (since + self.timeout).into();
        let due = self
            .due
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        if due.deadline() != end {
            due.as_mut().reset(end);
        }
        due.as_mut().poll(cx).is_ready()
    }
}

/// Serves the requests of a connection in the order in which they were received, until the peer or
/// the handler closes it, or `stop` becomes true and the requests in progress are answered.
pub(super) async fn run(
    stream: TcpStream,
    peer: SocketAddr,
    options: Options,
    handler: Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) {
    if let Err(err) = configure(&stream, options.ack_timeout) {
        handler.connection_failed(peer, &err.to_string());
    }
    let (reader, monitor) = read_ahead::split(stream);
    let error = exchange(reader, &monitor, peer, options, &handler, stop).await;
    if let Some(error) = error {
        handler.connection_failed(peer, &error);
    }
    if monitor.is_closed() || monitor.is_reset() {
        return;
    }
    // Closing a connection with unread bytes resets it, and the peer would lose the response.
    let linger = tokio::time::timeout(LINGER_TIME, monitor.linger(LINGER_MAX));
    if let Ok(Err(err)) = linger.await {
        handler.connection_failed(peer, &err.to_string());
    }
}

/// Serves the requests of a connection. Returns the error with which it ended, if any.
async fn exchange(
    reader: read_ahead::Reader,
    monitor: &Monitor,
    peer: SocketAddr,
    options: Options,
    handler: &Arc<dyn Handler>,
    stop: watch::Receiver<bool>,
) -> Option<String> {
    let requests = Arc::new(Requests::default());
    let service = service_fn(|request: Request<Incoming>| {
        let guard = InProgress::start(&requests);
        let mut request = RequestBody::wrap(request);
        let received = ReceivedAt(monitor.received());
        request.extensions_mut().insert(received);
        let version = request.version();
        let monitor = monitor.clone();
        let response = handler.clone().handle(request, peer);
        async move {
            let response = response.await;
            drop(guard);
            Ok::<_, Infallible>(unframed::prepare(response, version, &monitor))
        }
    });
    let builder = configure_protocols(options);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(reader), service));
    let mut stopped = pin!(ready_to_stop(stop, requests.clone()));
    let mut stopping = false;
    let mut blocked = Blocked::new(monitor, options.write_timeout);
    poll_fn(|cx| {
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            return Poll::Ready(result.err().map(|err| err.to_string()));
        }
        let busy = requests.in_progress.load(Ordering::Relaxed) > 0;
        if busy && monitor.poll_closed(cx) {
            return Poll::Ready(Some("the peer left before its response".to_owned()));
        }
        if blocked.poll_expired(cx) {
            monitor.set_reset(true);
            return Poll::Ready(Some("the peer does not read its response".to_owned()));
        }
        if !stopping && stopped.as_mut().poll(cx).is_ready() {
            stopping = true;
            connection.as_mut().graceful_shutdown();
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    })
    .await
}

fn configure_protocols(options: Options) -> auto::Builder<TokioExecutor> {
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
        .max_header_list_size(HEAD_MAX as u32)
        .max_send_buf_size(UNSENT_MAX);
    builder
}

/// Waits until the listener stops and a new connection has had time for its first request.
async fn ready_to_stop(mut stop: watch::Receiver<bool>, requests: Arc<Requests>) {
    // An error means that the sender is gone, which also stops the listener.
    let _ = stop.wait_for(|stop| *stop).await;
    if requests.started.load(Ordering::Relaxed) == 0 {
        // Whether the first request or the end of the time comes first makes no difference.
        let _ = tokio::time::timeout(FIRST_REQUEST_TIME, requests.first.notified()).await;
    }
}
