//! Requests that a peer sends before the first was answered, and connections that are opened
//! while the listener stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve;
use wb_http::serve::Handler;
use wb_http::serve::ReceivedAt;

/// Time that the handler takes for `/slow`.
const SLOW: Duration = Duration::from_millis(400);
/// Time in which a listener notices that its peer has left.
const NOTICE: Duration = Duration::from_millis(150);

/// What a listener did, in order.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    fn add(&self, text: impl Into<String>) {
        self.0.lock().expect("no panic").push(text.into());
    }

    fn all(&self) -> Vec<String> {
        self.0.lock().expect("no panic").clone()
    }
}

/// Logs when a handler is dropped before it has finished.
struct Unfinished(Log, Option<String>);

impl Drop for Unfinished {
    fn drop(&mut self) {
        if let Some(path) = self.1.take() {
            self.0.add(format!("dropped {path}"));
        }
    }
}

/// Responds with the path of the request; how depends on its first part.
struct Echo(Log);

async fn respond(log: Log, request: Request<RequestBody>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let received = request.extensions().get::<ReceivedAt>();
    let waited = received.expect("it is set").0.elapsed();
    log.add(format!("started {path}"));
    let mut unfinished = Unfinished(log.clone(), Some(path.clone()));
    if path.starts_with("/slow") {
        tokio::time::sleep(SLOW).await;
    }
    unfinished.1 = None;
    log.add(format!("finished {path}"));
    if path.starts_with("/broken") {
        let frames: [Result<Frame<Bytes>, _>; 2] = [
            Ok(Frame::data(Bytes::from_static(b"half"))),
            Err(body::BoxError::from("broken off")),
        ];
        return Response::new(body::boxed(StreamBody::new(futures::stream::iter(frames))));
    }
    let mut response = Response::new(body::full(format!("<{path}>")));
    let headers = response.headers_mut();
    headers.insert("waited-ms", (waited.as_millis() as u64).into());
    if path.starts_with("/last") {
        let close = http::HeaderValue::from_static("close");
        headers.insert(http::header::CONNECTION, close);
    }
    response
}

impl Handler for Echo {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        respond(self.0.clone(), request).boxed()
    }
}

/// A listener under test.
struct Fixture {
    address: SocketAddr,
    log: Log,
    stop: watch::Sender<bool>,
    served: JoinHandle<()>,
}

async fn listen() -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let log = Log::default();
    let (stop, stopped) = watch::channel(false);
    let handler = Arc::new(Echo(log.clone()));
    let served = tokio::spawn(serve::serve(listener, Default::default(), handler, stopped));
    Fixture {
        address,
        log,
        stop,
        served,
    }
}

impl Fixture {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a listener")
    }
}

/// Sends requests for these paths at once.
async fn send(stream: &mut TcpStream, paths: &[&str]) {
    let heads: String = paths
        .iter()
        .map(|path| format!("GET {path} HTTP/1.1\r\nhost: fleet\r\n\r\n"))
        .collect();
    stream.write_all(heads.as_bytes()).await.expect("open");
}

/// Reads until the listener closes the connection.
async fn read_all(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

/// Reads until a response ends with this text.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        let count = stream.read_buf(&mut bytes).await.expect("a response");
        assert_ne!(count, 0, "the connection was closed before {end}");
    }
    String::from_utf8(bytes).expect("text")
}

#[tokio::test]
async fn responses_come_in_the_order_of_the_requests() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    send(&mut stream, &["/slow/1", "/2", "/slow/3", "/4"]).await;
    let text = read_until(&mut stream, "</4>").await;
    let bodies = text.split('<').skip(1).map(|part| part.split('>').next());
    let bodies: Vec<&str> = bodies.flatten().collect();
    assert_eq!(bodies, ["/slow/1", "/2", "/slow/3", "/4"]);
    let log = fixture.log.all();
    let one_at_a_time = log
        .chunks(2)
        .all(|pair| pair[0].strip_prefix("started ") == pair[1].strip_prefix("finished "));
    assert!(one_at_a_time, "{log:?}");
}

/// The time that a request waits behind another counts towards its deadline.
#[tokio::test]
async fn a_request_counts_from_when_it_was_received() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    send(&mut stream, &["/slow/1", "/2"]).await;
    let text = read_until(&mut stream, "</2>").await;
    let waited = text.rsplit("waited-ms: ").next().expect("a header");
    let waited: u64 = waited
        .split('\r')
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a number");
    assert!(u128::from(waited) >= SLOW.as_millis() * 9 / 10, "{waited}");
}

#[tokio::test]
async fn a_response_that_breaks_off_ends_the_connection() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    send(&mut stream, &["/broken/1", "/2"]).await;
    let text = read_all(&mut stream).await.unwrap_or_default();
    assert!(!text.contains("0\r\n\r\n"), "it looks complete: {text}");
    assert!(!text.contains("</2>"), "{text}");
    assert_eq!(
        fixture.log.all(),
        ["started /broken/1", "finished /broken/1"]
    );
}

/// To such a peer, the end of the connection is that of the response.
#[tokio::test]
async fn a_response_that_breaks_off_resets_the_connection_of_an_http_1_0_peer() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    let head = b"GET /broken/1 HTTP/1.0\r\nhost: fleet\r\n\r\n";
    stream.write_all(head).await.expect("open");
    let result = read_all(&mut stream).await;
    assert!(result.is_err(), "it looks complete: {result:?}");
}

#[tokio::test]
async fn a_peer_that_leaves_is_noticed_while_its_next_request_waits() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    send(&mut stream, &["/slow/1", "/2"]).await;
    tokio::time::sleep(SLOW / 4).await;
    drop(stream);
    tokio::time::sleep(NOTICE).await;
    assert_eq!(fixture.log.all(), ["started /slow/1", "dropped /slow/1"]);
}

/// The requests behind the last response stay unread, and many of them: a connection that is closed
/// at once would be reset, and the peer might lose the response.
#[tokio::test]
async fn what_waits_behind_a_closing_response_is_not_handled_and_the_response_arrives() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    let mut paths = vec!["/slow/1", "/last/2"];
    paths.extend(std::iter::repeat_n("/3", 20_000));
    send(&mut stream, &paths).await;
    tokio::time::sleep(SLOW + NOTICE).await;
    let text = read_all(&mut stream).await.expect("no reset");
    assert!(text.ends_with("</last/2>"), "{text}");
    assert_eq!(fixture.log.all().len(), 4, "{:?}", fixture.log.all());
}

#[tokio::test]
async fn at_a_stop_the_response_in_progress_closes_and_the_next_request_is_not_handled() {
    let fixture = listen().await;
    let mut stream = fixture.connect().await;
    send(&mut stream, &["/slow/1", "/2"]).await;
    tokio::time::sleep(SLOW / 4).await;
    fixture.stop.send(true).expect("a listener");
    let text = read_all(&mut stream).await.expect("no reset");
    assert!(text.contains("connection: close"), "{text}");
    assert!(text.ends_with("</slow/1>"), "{text}");
    assert_eq!(fixture.log.all(), ["started /slow/1", "finished /slow/1"]);
    fixture.served.await.expect("it ends");
}

/// Connections that the kernel has accepted, or whose request is on the way, when the stop comes.
#[tokio::test]
async fn requests_on_new_connections_are_answered_at_a_stop() {
    const CONNECTIONS: usize = 60;
    let fixture = listen().await;
    let mut streams = Vec::new();
    for index in 0..CONNECTIONS {
        // Opened without yielding to the listener, so that many are not accepted yet.
        let stream = std::net::TcpStream::connect(fixture.address).expect("a listener");
        stream.set_nonblocking(true).expect("a socket");
        let mut stream = TcpStream::from_std(stream).expect("a socket");
        if index % 2 == 0 {
            send(&mut stream, &["/late"]).await;
        }
        streams.push(stream);
    }
    fixture.stop.send(true).expect("a listener");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for (index, stream) in streams.iter_mut().enumerate() {
        if index % 2 == 1 {
            // A connection that was closed fails here or without a response below.
            let head = b"GET /late HTTP/1.1\r\nhost: fleet\r\n\r\n";
            let _ = stream.write_all(head).await;
        }
    }
    let mut lost = Vec::new();
    for (index, mut stream) in streams.into_iter().enumerate() {
        match read_all(&mut stream).await {
            Ok(text) if text.ends_with("</late>") => {}
            other => lost.push((index, other.map_err(|err| err.to_string()))),
        }
    }
    assert!(lost.is_empty(), "{} lost: {lost:?}", lost.len());
    fixture.served.await.expect("it ends");
}
