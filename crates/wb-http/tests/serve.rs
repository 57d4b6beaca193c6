//! Handlers that respond before they have read the request body: the response must reach the peer,
//! also when the peer is still sending.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve;
use wb_http::serve::Handler;

/// Size of an upload, in bytes; more than the socket buffers hold.
const LARGE: usize = 8 * 1024 * 1024;

/// Refuses every request without reading its body.
struct Refuser;

impl Handler for Refuser {
    fn handle(
        self: Arc<Self>,
        _request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async { Response::new(body::full("refused")) }.boxed()
    }
}

async fn listen() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let handler = Arc::new(Refuser);
    tokio::spawn(serve::serve(listener, Default::default(), handler, stopped));
    (address, stop)
}

/// Sends a complete request and reads the response up to `refused`, its end.
async fn exchange(stream: &mut TcpStream, size: usize) -> String {
    let head = format!("PUT / HTTP/1.1\r\nhost: fleet\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("open");
    let body = vec![3; size];
    stream.write_all(&body).await.expect("read to its end");
    let mut response = Vec::new();
    while !response.ends_with(b"refused") {
        let read = stream.read_buf(&mut response).await.expect("a response");
        assert_ne!(read, 0, "the response was cut off");
    }
    String::from_utf8(response).expect("text")
}

#[tokio::test]
async fn refused_upload_gets_its_response() {
    let (address, _stop) = listen().await;
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    for size in [LARGE, 0, LARGE, 10] {
        let response = exchange(&mut stream, size).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

#[test]
fn pool_closes_idle_connections_before_the_listener() {
    let pool = wb_http::pool::Options::default();
    assert!(pool.idle_timeout < serve::Options::default().head_timeout);
}

#[tokio::test]
async fn shutdown_waits_for_the_upload() {
    let (address, stop) = listen().await;
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    let head = format!("PUT / HTTP/1.1\r\nhost: fleet\r\ncontent-length: {LARGE}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("open");
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.send(true).expect("a listener");
    let body = vec![3; LARGE];
    stream.write_all(&body).await.expect("read to its end");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response");
    assert!(response.ends_with("refused"), "{response}");
}
