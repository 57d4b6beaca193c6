//! The connection pool against servers that send complete, cut-off and malformed responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wb_http::Pool;
use wb_http::SendError;
use wb_http::body;
use wb_http::pool::SendOptions;

const OPTIONS: SendOptions = SendOptions {
    tag: None,
    max_connections: 2,
    max_idle: Duration::MAX,
};

/// Starts a server that sends these bytes on each connection and then closes it.
async fn serve_bytes(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(response).await;
        }
    });
    address
}

async fn fetch(pool: &Pool, address: SocketAddr) -> Result<bytes::Bytes, String> {
    let request = Request::new(body::empty());
    let response = pool.send(address, OPTIONS, request).await;
    let response = response.map_err(|err| err.to_string())?;
    let idle = Duration::from_secs(5);
    body::read(response.into_body(), 1000, idle)
        .await
        .map_err(|err| err.to_string())
}

macro_rules! responses {
    ($($name:ident: $response:literal => $expected:expr,)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let pool = Pool::new(Default::default());
                let address = serve_bytes($response).await;
                let read = fetch(&pool, address).await;
                let expected: Option<&str> = $expected;
                assert_eq!(read.ok().as_deref(), expected.map(str::as_bytes));
            }
        )*
    };
}

responses! {
    complete: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => Some("ok"),
    shorter_than_declared: b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok" => None,
    longer_than_declared: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nnot yours" => Some("ok"),
    chunked_without_last_chunk: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n" => None,
    chunked: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" => Some("ok"),
    incomplete_head: b"HTTP/1.1 200" => None,
    no_response: b"" => None,
    not_http: b"what?\r\n\r\n" => None,
    too_large: b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\nok" => None,
}

#[tokio::test]
async fn leftover_bytes_never_reach_the_next_request() {
    let pool = Pool::new(Default::default());
    let address = serve_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad").await;
    for _ in 0..20 {
        let read = fetch(&pool, address).await;
        assert!(
            read.is_err() || read.as_deref() == Ok(&b"ok"[..]),
            "{read:?}"
        );
    }
}

#[tokio::test]
async fn an_unsent_request_is_returned() {
    let pool = Pool::new(Default::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let closed = listener.local_addr().expect("an address");
    drop(listener);
    let request = Request::new(body::full("kept"));
    let sent = pool.send(closed, OPTIONS, request).await;
    assert_matches!(sent.map(drop), Err(SendError::NotSent { .. }));
}

#[tokio::test]
async fn connections_stay_within_their_limit() {
    let pool = Pool::new(Default::default());
    let address = serve_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n").await;
    let first = pool
        .send(address, OPTIONS, Request::new(body::empty()))
        .await;
    let second = pool
        .send(address, OPTIONS, Request::new(body::empty()))
        .await;
    let third = pool
        .send(address, OPTIONS, Request::new(body::empty()))
        .await;
    assert!(first.is_ok() && second.is_ok());
    assert_matches!(third.map(drop), Err(SendError::NotSent { .. }));
    assert_eq!(pool.open_connections(address), 2);
    drop((first, second));
    tokio::task::yield_now().await;
    assert_eq!(pool.open_connections(address), 0);
}

/// Response heads that a server may stop in, each followed by a body.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx-a: b\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: b\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
];

/// Whether a server closes or resets a connection in the middle of a head.
#[derive(Clone, Copy)]
enum End {
    Close,
    Reset,
}

/// Sends the start of a response to one request, then ends the connection.
async fn send_start(listener: &TcpListener, start: &[u8], end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = [0; 1024];
    let _ = stream.read(&mut head).await;
    stream.write_all(start).await.expect("the daemon reads");
    if let End::Reset = end {
        // Lets the daemon read what was sent before the reset.
        tokio::time::sleep(Duration::from_millis(5)).await;
        stream.set_zero_linger().expect("the option is known");
    }
}

#[tokio::test]
async fn head_that_stops_in_the_middle_is_a_whole_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    for head in HEADS {
        for length in 0..head.len() {
            for end in [End::Close, End::Reset] {
                let pool = Pool::new(Default::default());
                let start = &head.as_bytes()[..length];
                let (read, ()) =
                    tokio::join!(fetch(&pool, address), send_start(&listener, start, end));
                assert!(read.is_err(), "{:?}: {read:?}", &head[..length]);
            }
        }
    }
}

#[tokio::test]
async fn connection_of_a_response_that_is_not_believed_is_kept() {
    let pool = Pool::new(Default::default());
    let address = serve_bytes(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
    let request = Request::new(body::empty());
    let response = pool.send(address, OPTIONS, request).await;
    let response = response.expect("the head is complete");
    response.into_body().close();
    tokio::task::yield_now().await;
    assert_eq!(pool.open_connections(address), 0);
}

/// Sends a request with a tag, and returns its response.
async fn fetch_tagged(pool: &Pool, address: SocketAddr, tag: u64) {
    let request = Request::new(body::empty());
    let options = SendOptions {
        tag: Some(tag),
        ..OPTIONS
    };
    let response = pool.send(address, options, request).await;
    let body = response.expect("the server responds").into_body();
    let idle = Duration::from_secs(5);
    body::read(body, 1000, idle).await.expect("a whole body");
}

/// A copy of the response to the first attempt of a request must not pass for that to the second.
#[tokio::test]
async fn request_is_sent_twice_on_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut head = [0; 1024];
                while stream.read(&mut head).await.is_ok_and(|size| size > 0) {
                    let response = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(response).await.expect("the pool reads");
                }
            });
        }
    });
    let pool = Pool::new(Default::default());
    fetch_tagged(&pool, address, 1).await;
    fetch_tagged(&pool, address, 2).await;
    assert_eq!(opened.load(Ordering::Relaxed), 1, "other requests share it");
    fetch_tagged(&pool, address, 2).await;
    assert_eq!(opened.load(Ordering::Relaxed), 2);
    fetch_tagged(&pool, address, 3).await;
    assert_eq!(opened.load(Ordering::Relaxed), 2, "both are kept");
}
