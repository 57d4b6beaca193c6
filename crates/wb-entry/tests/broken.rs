//! Responses that break off, and responses whose status no response has, through an entry daemon. None of
//! them may look whole to a caller.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::Version;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wb_ctl::OperatorClient;
use wb_ctl::callers;
use wb_entry::daemon::Daemon;
use wb_entry::proxy::header;
use wb_http::Body;
use wb_http::body;
use wb_http::body::BoxError;
use wb_http::serve;
use wb_settings::Settings;
use wb_stand::platform::StandInPlatform;
use wb_stand::scripted;
use wb_stand::scripted::ScriptedServer;
use wb_stand::scripted::Step;
use wb_table::table_file;
use wb_types::policy::Edit;
use wb_types::roster::Lifecycle;
use wb_types::roster::Roster;
use wb_types::roster::Server;

const KEY: &str = "key-of-the-caller";
const TOKEN: &str = "operators-token";
const SERVICE: &str = "registry";
/// Size of a body that is streamed, in bytes.
const LARGE: usize = 1_500_000;
const STREAMED: usize = 400_000;
/// Pauses between the last byte of a response and the reset.
const PAUSES: [u64; 4] = [0, 1, 3, 30];
/// Time in which a daemon has its servers and its table.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of fleets that this process has started: each has addresses of its own.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// An entry daemon with servers that play a script.
struct Fixture {
    callers: SocketAddr,
    servers: Vec<ScriptedServer>,
    _daemon: Daemon,
    _stop: watch::Sender<bool>,
}

/// Returns the steps of a server after the head of a request.
type Steps = Arc<dyn Fn(&str) -> Vec<Step> + Send + Sync>;

impl Fixture {
    async fn start(steps: Steps, servers: usize) -> Self {
        let second = (std::process::id() % 200) as u8 + 20;
        let ip = Ipv4Addr::new(127, second, FLEETS.fetch_add(1, Ordering::Relaxed), 7);
        let mut started = Vec::new();
        for _ in 0..servers {
            let server = ScriptedServer::start(steps.clone()).await;
            started.push(server.expect("a free port"));
        }
        let (stop, stopped) = watch::channel(false);
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let platform = listener.local_addr().expect("it is bound");
        let stand_in = Arc::new(StandInPlatform::new(roster(&started)));
        tokio::spawn(serve::serve(
            listener,
            Default::default(),
            stand_in,
            stopped,
        ));
        let at = |port: u16| SocketAddr::from((ip, port));
        let settings = format!(
            "instance:\n  name: entry\n  domain: a\n\
             listen:\n  callers: {}\n  peers: {}\n  operators: {}\n\
             platform:\n  address: {platform}\n\
             tokens:\n  operators: {TOKEN}\n  peers: peers-token\n\
             fleet:\n  homes: 1\n\
             bounds:\n  connections: 100\n",
            at(7001),
            at(7002),
            at(7003)
        );
        let settings = Settings::parse("entry.yaml", &settings).expect("the settings are valid");
        let daemon = Daemon::start(settings)
            .await
            .expect("the addresses are free");
        apply_table(&OperatorClient::new(at(7003), TOKEN)).await;
        Self {
            callers: at(7001),
            servers: started,
            _daemon: daemon,
            _stop: stop,
        }
    }

    async fn send(&self, upload: usize, version: Version) -> Result<Response<Bytes>, BoxError> {
        let method = if upload == 0 { "GET" } else { "POST" };
        let uri = match version {
            Version::HTTP_2 => "http://fleet.example/7",
            _ => "/7",
        };
        let mut request = Request::builder().method(method).uri(uri).version(version);
        if version != Version::HTTP_2 {
            request = request.header("host", "fleet.example");
        }
        let request: Request<Body> = request
            .header("authorization", format!("Bearer {KEY}"))
            .header(header::SERVICE, SERVICE)
            .header(header::CLASS, "all")
            .header(header::DEADLINE, 3000)
            .body(body::full(vec![7; upload]))
            .expect("a request");
        scripted::call(self.callers, request, Duration::ZERO).await
    }

    /// Sends lookups until one reaches a server.
    async fn wait_until_served(&self) {
        let end = tokio::time::Instant::now() + START_TIMEOUT;
        while self.requests() == 0 {
            assert!(tokio::time::Instant::now() < end, "no request is served");
            // The daemon refuses until it knows its servers.
            let _ = self.send(0, Version::HTTP_11).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of connections that its servers got.
    fn requests(&self) -> usize {
        let counts = self.servers.iter();
        counts
            .map(|server| server.received.lock().expect("no panic").len())
            .sum()
    }
}

fn roster(servers: &[ScriptedServer]) -> Roster {
    let listed = servers.iter().enumerate().map(|(index, server)| Server {
        name: format!("server-{index}").into(),
        service: SERVICE.into(),
        address: server.address,
        domain: "a".into(),
        slots: 6,
        max_connections: 40,
        lifecycle: Lifecycle::Live,
    });
    Roster {
        instances: Vec::new(),
        servers: listed.collect(),
    }
}

async fn apply_table(operator: &OperatorClient) {
    let rows = "service,class,weight,rate_per_s,concurrency,queue,wait_ms,deadline_ms,floor_percent\n\
                registry,all,1,1000,100,100,500,5000,50\n";
    let edit = Edit {
        id: "first".into(),
        base: 0,
        rows: table_file::parse(rows).expect("the table is valid"),
        dropped: Vec::new(),
        callers: callers::parse(&format!("caller,classes,key\ncaller,all,{KEY}\n"))
            .expect("the callers are valid"),
    };
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    while let Err(err) = operator.submit_edit(&edit).await {
        assert!(
            tokio::time::Instant::now() < end,
            "the table is not accepted: {err}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a response, with the id of the request.
fn response(request: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let id = scripted::field(request, header::REQUEST_ID).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\n{}: {id}\r\n{fields}\r\n",
        header::REQUEST_ID
    );
    [head.as_bytes(), body].concat()
}

async fn play(
    version: Version,
    upload: usize,
    fields: &'static str,
    body: Vec<u8>,
    servers: usize,
) {
    for pause in PAUSES {
        let body = body.clone();
        let steps = move |request: &str| {
            let response = response(request, "200 OK", fields, &body);
            vec![
                Step::Send(response),
                Step::Pause(Duration::from_millis(pause)),
                Step::Reset,
            ]
        };
        let fixture = Fixture::start(Arc::new(steps), servers).await;
        fixture.wait_until_served().await;
        let before = fixture.requests();
        let answer = fixture.send(upload, version).await;
        let whole = answer
            .as_ref()
            .is_ok_and(|answer| answer.status().is_success());
        assert!(
            !whole,
            "reset after {pause} ms: {:?}",
            answer.map(|answer| answer.into_parts().0)
        );
        assert!(
            fixture.requests() > before,
            "no server got the request: {answer:?}"
        );
    }
}

fn chunk(size: usize) -> Vec<u8> {
    [
        format!("{size:x}\r\n").as_bytes(),
        &vec![b'x'; size],
        b"\r\n",
    ]
    .concat()
}

macro_rules! broken_responses {
    ($($name:ident: $version:ident, upload $upload:expr, $fields:literal, $body:expr, servers $servers:literal;)+) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            play(Version::$version, $upload, $fields, $body, $servers).await;
        }
    )+};
}

broken_responses! {
    lookup_without_length: HTTP_11, upload 0, "", vec![b'x'; 10], servers 1;
    lookup_without_length_at_several_servers: HTTP_11, upload 0, "connection: close\r\n", vec![b'x'; 10], servers 3;
    lookup_with_length: HTTP_11, upload 0, "content-length: 20\r\n", vec![b'x'; 10], servers 1;
    lookup_streamed_with_length: HTTP_11, upload 0, "content-length: 500000\r\n", vec![b'x'; STREAMED], servers 1;
    lookup_before_the_first_chunk: HTTP_11, upload 0, "transfer-encoding: chunked\r\n", Vec::new(), servers 1;
    lookup_between_two_chunks: HTTP_11, upload 0, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
    lookup_of_http_1_0_between_two_chunks: HTTP_10, upload 0, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
    lookup_of_http_1_0_streamed: HTTP_10, upload 0, "transfer-encoding: chunked\r\n", chunk(STREAMED), servers 1;
    lookup_of_http_1_0_with_another_encoding: HTTP_10, upload 0, "transfer-encoding: identity\r\n", vec![b'x'; 10], servers 1;
    lookup_of_http_2_between_two_chunks: HTTP_2, upload 0, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
    upload_without_length: HTTP_11, upload LARGE, "", vec![b'x'; 10], servers 1;
    upload_with_length: HTTP_11, upload LARGE, "content-length: 20\r\n", vec![b'x'; 10], servers 1;
    upload_between_two_chunks: HTTP_11, upload LARGE, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
    upload_of_http_1_0_between_two_chunks: HTTP_10, upload LARGE, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
    upload_of_http_2_between_two_chunks: HTTP_2, upload LARGE, "transfer-encoding: chunked\r\n", chunk(10), servers 1;
}

/// A body without length or chunks ends with its connection: whether all of it came can't be told.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookup_that_ends_in_order_with_another_encoding() {
    let steps = |request: &str| {
        let response = response(
            request,
            "200 OK",
            "transfer-encoding: identity\r\n",
            b"part",
        );
        vec![Step::Send(response), Step::Close]
    };
    let fixture = Fixture::start(Arc::new(steps), 1).await;
    fixture.wait_until_served().await;
    let answer = fixture.send(0, Version::HTTP_11).await;
    let whole = answer
        .as_ref()
        .is_ok_and(|answer| answer.status().is_success());
    assert!(!whole, "{answer:?}");
}

async fn play_status(status: &'static str) {
    let steps = move |request: &str| {
        let response = response(
            request,
            status,
            "connection: close\r\ncontent-length: 2\r\n",
            b"ok",
        );
        vec![Step::Send(response)]
    };
    let fixture = Fixture::start(Arc::new(steps), 1).await;
    fixture.wait_until_served().await;
    let answer = fixture.send(0, Version::HTTP_11).await;
    let answer = answer.expect("the daemon answers").into_parts().0;
    assert!(answer.headers.contains_key(header::REASON), "{answer:?}");
}

macro_rules! statuses {
    ($($name:ident: $status:literal;)+) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            play_status($status).await;
        }
    )+};
}

statuses! {
    status_000: "000 Trouble";
    status_099: "099 Trouble";
    status_1000: "1000 Trouble";
    status_of_two_digits: "20 Trouble";
    status_with_a_sign: "+200 Trouble";
    status_600: "600 Trouble";
    status_999: "999 Trouble";
    status_that_switches_protocols: "101 Switching Protocols";
}
