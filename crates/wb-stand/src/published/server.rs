//! Stand-in for a backend server of the users, with fault injection.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rand::Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wb_http::Body;
use wb_http::body;

/// Header with the id of a caller's attempt.
pub const REQUEST_ID: &str = "x-wisteriabarrow-request-id";
/// Header with the time that the sender waits for the response, in milliseconds.
pub const DEADLINE: &str = "x-wisteriabarrow-deadline-ms";
/// Header with the signature of the server that made the response.
pub const SIGNATURE: &str = "x-wisteriabarrow-response-signature";
/// Header that names the only server that may execute the request.
pub const TARGET: &str = "x-wisteriabarrow-target-instance";
/// Header with the key of the caller's team, in requests of callers.
pub const KEY: &str = "x-wisteriabarrow-credential";
/// Header with the name of the caller's team, in requests to servers.
pub const TEAM: &str = "x-wisteriabarrow-tenant";
/// Header of responses to requests that were not executed.
pub const NOT_EXECUTED: &str = "x-wisteriabarrow-not-executed";

/// Header with the id of the server, in responses to health checks.
pub const INSTANCE: &str = "x-wisteriabarrow-instance-id";
/// Path of health checks.
const HEALTH_PATH: &str = "/health";

/// Header with the requests a second that the server takes from all instances together.
pub const SERVER_LIMIT: &str = "server-limit";

/// Header of all responses of a server that is leaving.
pub const SERVER_LEAVING: &str = "server-leaving";

/// Ratio of the duration of a slow request to that of others, as in the users' deployments.
const SLOW_FACTOR: u32 = 7;
/// Time from the moment at which an ending process accepts no connections until they are all closed.
const END_TIME: Duration = Duration::from_millis(20);
/// Limit of waiting requests at a server; further ones are shed.
const QUEUE_MAX: u32 = 24;

/// A request that a server started to execute.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Id of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Method and path, with the query.
    pub line: String,
    /// Size of the body, in bytes.
    pub size: usize,
    /// Time that the sender waits for the response, in milliseconds, if it sent one.
    pub deadline: Option<u64>,
    /// Team that the request names.
    pub team: Option<String>,
    /// Whether it names a key.
    pub has_key: bool,
    /// Time when the execution started.
    #[serde(skip)]
    pub started: Instant,
}

/// A request that made its server end.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Id of the request.
    pub id: String,
    /// Id of the server.
    pub server: String,
    /// When the server ended.
    pub at: Instant,
}

/// Requests that servers have executed, by request id, and those that made them end.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<HashMap<String, Vec<Run>>>,
    crashes: Mutex<Vec<Crash>>,
}

impl Ledger {
    /// Returns the executions of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("lock is not poisoned");
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Returns all executions, by request id.
    pub fn all(&self) -> HashMap<String, Vec<Run>> {
        self.runs.lock().expect("lock is not poisoned").clone()
    }

    /// Returns the requests that made their servers end, in order.
    pub fn crashes(&self) -> Vec<Crash> {
        self.crashes.lock().expect("lock is not poisoned").clone()
    }

    fn add_crash(&self, crash: Crash) {
        let mut crashes = self.crashes.lock().expect("lock is not poisoned");
        crashes.push(crash);
    }

    fn add(&self, id: &str, run: Run) {
        let mut runs = self.runs.lock().expect("lock is not poisoned");
        runs.entry(id.to_owned()).or_default().push(run);
    }
}

/// Injected faults of a server: the fraction of requests, 0 to 1, for each kind of failure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Closes the connection without executing the request.
    pub reset: f64,
    /// Executes the request and closes the connection without a response.
    pub lose_response: f64,
    /// Executes the request and responds with status 500.
    pub fail: f64,
    /// Executes the request and never responds.
    pub hang: f64,
    /// Sheds the request.
    pub shed: f64,
    /// Executes the request and cuts the response off.
    pub truncate: f64,
    /// Executes the request and responds with the id of another request.
    pub mismatch: f64,
    /// Duration of a request.
    pub work: Duration,
    /// Takes `SLOW_FACTOR` times as long.
    pub slow: f64,
}

/// What a server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Action {
    Respond,
    Reset,
    LoseResponse,
    Fail,
    Hang,
    Shed,
    Truncate,
    Mismatch,
}

impl Behaviour {
    fn draw_duration(&self) -> Duration {
        let slow = rand::rng().random::<f64>() < self.slow;
        if slow {
            self.work * SLOW_FACTOR
        } else {
            self.work
        }
    }

    fn draw_action(&self) -> Action {
        let mut left = rand::rng().random::<f64>();
        let actions = [
            (self.reset, Action::Reset),
            (self.lose_response, Action::LoseResponse),
            (self.fail, Action::Fail),
            (self.hang, Action::Hang),
            (self.shed, Action::Shed),
            (self.truncate, Action::Truncate),
            (self.mismatch, Action::Mismatch),
        ];
        for (share, action) in actions {
            left -= share;
            if left < 0.0 {
                return action;
            }
        }
        Action::Respond
    }
}

/// A request that arrived at a server, and how it asked for a pause.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request; empty if it has none.
    pub id: String,
    /// Address that it came from.
    pub from: IpAddr,
    /// When it arrived.
    pub at: Instant,
    /// When the request was shed with a pause, and the length of the pause.
    pub pause: Option<(Instant, Duration)>,
}

/// Stand-in for a backend server.
pub struct Server {
    id: String,
    service: String,
    slots: u32,
    busy: AtomicU32,
    behaviour: Mutex<Behaviour>,
    /// Limit that the server names, in requests a second; it does not enforce it.
    limit: Mutex<Option<f64>>,
    /// When it began to say that it is leaving.
    leaving: Mutex<Option<Instant>>,
    /// Pause that it asks for when it sheds a request.
    pause: Mutex<Option<Duration>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Heads of the requests that arrived; `None` while they are not recorded.
    heads: Mutex<Option<Vec<HeaderMap>>>,
    /// Trailers of the bodies that arrived.
    trailers: Mutex<Vec<HeaderMap>>,
    ledger: Arc<Ledger>,
    /// Requests that make the server end.
    crash_rule: Mutex<Option<CrashRule>>,
    process: watch::Sender<Process>,
    restarts: Mutex<Vec<Instant>>,
}

/// Requests that make a server end, and how long it stays down.
#[derive(Clone, Debug)]
pub struct CrashRule {
    /// Path of the requests.
    pub path: String,
    /// Time until the server is back.
    pub downtime: Duration,
}

/// State of a server's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    /// It runs; this is the number of its start, from 0.
    Up(u64),
    /// It ends now: no connection is accepted any more.
    Ending,
    /// It has ended, and its connections with it.
    Down,
}

impl Server {
    /// Starts a server.
    pub fn start(listener: TcpListener, id: &str, service: &str, ledger: Arc<Ledger>) -> Arc<Self> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            slots: 6,
            busy: AtomicU32::new(0),
            behaviour: Mutex::default(),
            limit: Mutex::default(),
            leaving: Mutex::default(),
            pause: Mutex::default(),
            arrivals: Mutex::default(),
            heads: Mutex::default(),
            trailers: Mutex::default(),
            ledger,
            crash_rule: Mutex::default(),
            process: watch::Sender::new(Process::Up(0)),
            restarts: Mutex::default(),
        });
        tokio::spawn(run(listener, server.clone()));
        server
    }

    /// Returns the server's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the service that it serves.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Sets the injected faults.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("lock is not poisoned") = behaviour;
    }

    /// Sets which requests make the server end.
    pub fn set_crash_rule(&self, rule: Option<CrashRule>) {
        *self.crash_rule.lock().expect("lock is not poisoned") = rule;
    }

    /// Returns which requests make the server end.
    pub fn crash_rule(&self) -> Option<CrashRule> {
        self.crash_rule
            .lock()
            .expect("lock is not poisoned")
            .clone()
    }

    /// Number of the last start of the server's process, from 0.
    pub fn starts(&self) -> u64 {
        self.restarts().len() as u64
    }

    /// Returns when the server's process started again.
    pub fn restarts(&self) -> Vec<Instant> {
        self.restarts.lock().expect("lock is not poisoned").clone()
    }

    /// Watches the server's process.
    pub fn watch_process(&self) -> watch::Receiver<Process> {
        self.process.subscribe()
    }

    /// Ends the server's process, and starts it again after `downtime`.
    pub async fn end_process(&self, downtime: Duration) {
        let Process::Up(start) = *self.process.borrow() else {
            return;
        };
        self.process.send_replace(Process::Ending);
        tokio::time::sleep(END_TIME).await;
        self.process.send_replace(Process::Down);
        tokio::time::sleep(downtime).await;
        let mut restarts = self.restarts.lock().expect("lock is not poisoned");
        restarts.push(Instant::now());
        drop(restarts);
        self.process.send_replace(Process::Up(start + 1));
    }

    /// Ends the server if the request is one that makes it end. The response never comes.
    async fn crash(self: &Arc<Self>, id: &str, path: &str) {
        let rule = self
            .crash_rule
            .lock()
            .expect("lock is not poisoned")
            .clone();
        let Some(rule) = rule.filter(|rule| rule.path == path) else {
            return;
        };
        self.ledger.add_crash(Crash {
            id: id.to_owned(),
            server: self.id.clone(),
            at: Instant::now(),
        });
        let server = self.clone();
        // Goes on when the connections of the process are closed.
        tokio::spawn(async move { server.end_process(rule.downtime).await });
        std::future::pending().await
    }

    /// Sets the limit that the server names, in requests a second.
    pub fn set_limit(&self, limit: Option<f64>) {
        *self.limit.lock().expect("lock is not poisoned") = limit;
    }

    /// Says from now on in all responses that it is leaving.
    pub fn set_leaving(&self) {
        let mut leaving = self.leaving.lock().expect("lock is not poisoned");
        leaving.get_or_insert_with(Instant::now);
    }

    /// Says no longer that it is leaving, as a process that has started since.
    pub fn set_staying(&self) {
        *self.leaving.lock().expect("lock is not poisoned") = None;
    }

    /// Returns since when it says that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        *self.leaving.lock().expect("lock is not poisoned")
    }

    /// Sets the pause that it asks for when it sheds a request.
    pub fn set_pause(&self, pause: Option<Duration>) {
        *self.pause.lock().expect("lock is not poisoned") = pause;
    }

    /// Returns all requests that arrived, refused ones included.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().expect("lock is not poisoned");
        arrivals.clone()
    }

    /// Returns when requests arrived, refused ones included.
    pub fn arrival_times(&self) -> Vec<Instant> {
        let arrivals = self.arrivals();
        arrivals.into_iter().map(|arrival| arrival.at).collect()
    }

    /// Records the heads of all requests from now on.
    pub fn record_heads(&self) {
        let mut heads = self.heads.lock().expect("lock is not poisoned");
        heads.get_or_insert_default();
    }

    /// Returns the heads of the requests that arrived while they were recorded.
    pub fn heads(&self) -> Vec<HeaderMap> {
        let heads = self.heads.lock().expect("lock is not poisoned");
        heads.clone().unwrap_or_default()
    }

    /// Returns the trailers of the bodies that arrived.
    pub fn trailers(&self) -> Vec<HeaderMap> {
        let trailers = self.trailers.lock().expect("lock is not poisoned");
        trailers.clone()
    }

    /// Records a request that arrived. Returns its index.
    fn record_arrival(&self, headers: &HeaderMap, from: IpAddr) -> usize {
        let mut heads = self.heads.lock().expect("lock is not poisoned");
        if let Some(heads) = heads.as_mut() {
            heads.push(headers.clone());
        }
        drop(heads);
        let mut arrivals = self.arrivals.lock().expect("lock is not poisoned");
        arrivals.push(Arrival {
            id: header(headers, REQUEST_ID).unwrap_or_default(),
            from,
            at: Instant::now(),
            pause: None,
        });
        arrivals.len() - 1
    }

    /// Asks for the pause that is set in a response that sheds the request with this index.
    fn ask_for_pause(&self, response: &mut Response<Body>, arrival: usize) {
        let pause = *self.pause.lock().expect("lock is not poisoned");
        let sheds = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let Some(pause) = pause.filter(|_| sheds) else {
            return;
        };
        let value = pause.as_secs_f64().to_string().parse();
        let value = value.expect("a number is a valid header value");
        response.headers_mut().insert(RETRY_AFTER, value);
        let mut arrivals = self.arrivals.lock().expect("lock is not poisoned");
        arrivals[arrival].pause = Some((Instant::now(), pause));
    }

    /// Handles a request, and says in the response, whatever it is, what it says of itself.
    async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
        from: IpAddr,
    ) -> io::Result<Response<Body>> {
        if request.uri().path() == HEALTH_PATH {
            return Ok(self.health());
        }
        let behaviour = *self.behaviour.lock().expect("lock is not poisoned");
        let arrival = self.record_arrival(request.headers(), from);
        let mut response = self.handle(request, behaviour).await?;
        self.ask_for_pause(&mut response, arrival);
        let limit = *self.limit.lock().expect("lock is not poisoned");
        if let Some(limit) = limit {
            let value = limit.to_string().parse();
            let value = value.expect("a number is a valid header value");
            response.headers_mut().insert(SERVER_LIMIT, value);
        }
        if self.leaving_since().is_some() {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(SERVER_LEAVING, value);
        }
        Ok(response)
    }

    /// Response to a health check.
    fn health(&self) -> Response<Body> {
        let leaving = self.leaving_since().is_some();
        let mut response = body::empty_response(if leaving {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        });
        let headers = response.headers_mut();
        let id = self.id.parse().expect("an id is a valid header value");
        headers.insert(INSTANCE, id);
        if leaving {
            headers.insert(SERVER_LEAVING, HeaderValue::from_static("1"));
        }
        response
    }

    async fn handle(
        self: &Arc<Self>,
        request: Request<Incoming>,
        behaviour: Behaviour,
    ) -> io::Result<Response<Body>> {
        let (head, incoming) = request.into_parts();
        let text = |name: &str| header(&head.headers, name);
        let Some(id) = text(REQUEST_ID) else {
            return Ok(not_executed(StatusCode::BAD_REQUEST, None));
        };
        if text(TARGET).is_some_and(|target| target != self.id) {
            return Ok(not_executed(StatusCode::MISDIRECTED_REQUEST, Some(&id)));
        }
        let action = behaviour.draw_action();
        if action == Action::Reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if action == Action::Shed || self.busy.load(Ordering::Relaxed) >= self.slots + QUEUE_MAX {
            return Ok(not_executed(StatusCode::SERVICE_UNAVAILABLE, Some(&id)));
        }
        let content = incoming.collect().await.map_err(io::Error::other)?;
        if let Some(trailers) = content.trailers() {
            let mut all = self.trailers.lock().expect("lock is not poisoned");
            all.push(trailers.clone());
        }
        self.ledger.add(
            &id,
            Run {
                server: self.id.clone(),
                service: self.service.clone(),
                line: format!("{} {}", head.method, head.uri),
                size: content.to_bytes().len(),
                deadline: text(DEADLINE).and_then(|millis| millis.parse().ok()),
                team: text(TEAM),
                has_key: head.headers.contains_key(KEY),
                started: Instant::now(),
            },
        );
        self.busy.fetch_add(1, Ordering::Relaxed);
        let _busy = BusyGuard(&self.busy);
        tokio::time::sleep(behaviour.draw_duration()).await;
        self.crash(&id, head.uri.path()).await;
        match action {
            Action::LoseResponse => Err(io::ErrorKind::ConnectionReset.into()),
            Action::Hang => std::future::pending().await,
            Action::Fail => Ok(self.signed(StatusCode::INTERNAL_SERVER_ERROR, &id, false)),
            Action::Truncate => Ok(self.signed(StatusCode::OK, &id, true)),
            Action::Mismatch => Ok(self.signed(StatusCode::OK, "another", false)),
            _ => Ok(self.signed(StatusCode::OK, &id, false)),
        }
    }

    fn signed(&self, status: StatusCode, id: &str, truncate: bool) -> Response<Body> {
        let content = expected_body(id);
        let size = content.len();
        let body = if truncate {
            truncated(content.slice(..size / 2))
        } else {
            body::full(content)
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        for (name, value) in [
            (REQUEST_ID, id.to_owned()),
            (SIGNATURE, signature(&self.id, id)),
            ("content-length", size.to_string()),
        ] {
            let value = value
                .parse()
                .expect("ids and lengths are valid header values");
            headers.insert(name, value);
        }
        response
    }
}

/// Decrements the count of requests in progress when it is dropped.
struct BusyGuard<'a>(&'a AtomicU32);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the response body that belongs to a request.
pub fn expected_body(id: &str) -> Bytes {
    id.repeat(40).into()
}

/// Signature of a response.
fn signature(server: &str, id: &str) -> String {
    format!("{server}.{id}")
}

/// Returns whether a successful response is complete and belongs to this request.
pub fn is_valid_response(headers: &HeaderMap, bytes: &[u8], id: &str) -> bool {
    let signature = header(headers, SIGNATURE);
    let matches = signature.is_some_and(|text| text.ends_with(&format!(".{id}")));
    matches && bytes == expected_body(id) && header(headers, REQUEST_ID).as_deref() == Some(id)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn not_executed(status: StatusCode, id: Option<&str>) -> Response<Body> {
    let mut response = body::empty_response(status);
    let headers = response.headers_mut();
    headers.insert(NOT_EXECUTED, http::HeaderValue::from_static("1"));
    if let Some(id) = id.and_then(|id| id.parse().ok()) {
        headers.insert(REQUEST_ID, id);
    }
    response
}

/// Creates a body that fails after these bytes.
fn truncated(start: Bytes) -> Body {
    let frames = [
        Ok(http_body::Frame::data(start)),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    body::boxed(http_body_util::StreamBody::new(futures::stream::iter(
        frames,
    )))
}

/// Runs the processes of a server one after the other. Dropping the listener and the connections of
/// one closes them.
async fn run(listener: TcpListener, server: Arc<Server>) {
    let mut process = server.watch_process();
    let address = listener.local_addr().expect("the listener is bound");
    let mut listener = Some(listener);
    loop {
        let mut connections = JoinSet::new();
        if let Some(listener) = listener.take() {
            let ending = process.wait_for(|process| *process == Process::Ending);
            tokio::select! {
                () = accept(&listener, &server, &mut connections) => {}
                _ = ending => {}
            }
        }
        // The server's own sender lives as long as the server.
        let _ = process.wait_for(|process| *process == Process::Down).await;
        connections.shutdown().await;
        let up = process.wait_for(|process| matches!(process, Process::Up(_)));
        let _ = up.await;
        listener = TcpListener::bind(address).await.ok();
    }
}

async fn accept(listener: &TcpListener, server: &Arc<Server>, connections: &mut JoinSet<()>) {
    while let Ok((stream, peer)) = listener.accept().await {
        let server = server.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { server.respond(request, peer.ip()).await }
        });
        let connection = http1::Builder::new()
            .half_close(false)
            .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
        connections.spawn(async move {
            // Connection errors are injected faults.
            connection.await.ok();
        });
        while connections.try_join_next().is_some() {}
    }
}
