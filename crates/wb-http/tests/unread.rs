//! Peers that don't read their response: the connection is closed, and what was passed on is freed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve;
use wb_http::serve::Handler;

/// Size of a response, in bytes; more than the socket buffers hold.
const LARGE: usize = 8 * 1024 * 1024;
/// Time after which a connection is closed whose peer reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from then on in which it is closed on a busy machine.
const SLACK: Duration = Duration::from_secs(5);
/// Receive buffer of a peer that reads nothing, in bytes.
const SMALL_BUFFER: u32 = 4096;
/// Receive buffer of a peer that reads, in bytes.
const BUFFER: u32 = 64 * 1024;

/// Bytes of a response, and what shows that they are dropped.
struct Content(
    Vec<u8>,
    #[allow(dead_code, reason = "held until it is dropped")] Arc<()>,
);

impl AsRef<[u8]> for Content {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// Answers every request with a large response.
struct Sender(Arc<()>);

impl Handler for Sender {
    fn handle(
        self: Arc<Self>,
        _request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let content = Content(vec![3; LARGE], self.0.clone());
        let content = bytes::Bytes::from_owner(content);
        async { Response::new(body::full(content)) }.boxed()
    }
}

/// Sends a request, reads up to `rate` bytes each millisecond until the response is freed, then the rest. Returns how
/// long that took, and the bytes read.
async fn exchange(version: &str, rate: usize) -> (Duration, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let held = Arc::new(());
    let handler = Arc::new(Sender(held.clone()));
    let options = serve::Options {
        write_timeout: WRITE_TIMEOUT,
        ..serve::Options::default()
    };
    tokio::spawn(serve::serve(listener, options, handler, stopped));
    let socket = TcpSocket::new_v4().expect("a socket");
    let buffer = if rate > 0 { BUFFER } else { SMALL_BUFFER };
    socket.set_recv_buffer_size(buffer).expect("a size");
    let mut stream = socket.connect(address).await.expect("a listener");
    let request = format!("GET / {version}\r\nhost: fleet\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("open");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begin = Instant::now();
    let mut bytes = Vec::new();
    while Arc::strong_count(&held) > 2 && begin.elapsed() < WRITE_TIMEOUT + SLACK {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let mut part = vec![0; rate];
        if rate > 0 {
            let count = stream.read(&mut part).await.expect("more of the response");
            bytes.extend_from_slice(&part[..count]);
        }
    }
    let took = begin.elapsed();
    // An error is a response that broke off.
    stream.read_to_end(&mut bytes).await.ok();
    (took, bytes.len())
}

macro_rules! unread {
    ($($name:ident: $version:literal;)+) => {
        $(#[tokio::test]
        async fn $name() {
            let (took, count) = exchange($version, 0).await;
            assert!(took < WRITE_TIMEOUT + SLACK, "{took:?}");
            assert!(count < LARGE, "the response looks complete");
        })+
    };
}

// A connection whose peer reads nothing is closed.
unread! {
    nothing_is_read: "HTTP/1.1";
    nothing_is_read_of_an_old_version: "HTTP/1.0";
}

#[tokio::test]
async fn peer_that_reads_steadily_gets_all() {
    let (_, count) = exchange("HTTP/1.1", 512 * 1024).await;
    assert!(count > LARGE, "{count} bytes");
}
