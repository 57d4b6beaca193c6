//! A backend server of the users.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rand::Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use wb_http::Body;
use wb_http::body;

/// Header with the id of a caller's attempt.
pub const REQUEST_ID: &str = "x-wisteriabarrow-request-id";
/// Header with the time that the sender waits.
pub const DEADLINE: &str = "x-wisteriabarrow-deadline-ms";
/// Header that proves who made an answer.
pub const SIGNATURE: &str = "x-wisteriabarrow-response-signature";
/// Header that names the only server that may run a request.
pub const TARGET: &str = "x-wisteriabarrow-target-instance";
/// Header of answers that say that the request was not run.
pub const NOT_RUN: &str = "x-wisteriabarrow-not-executed";

/// Requests that wait at a server before it sheds.
const QUEUE: u32 = 24;

/// A request that a server began to work on.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Method and path, with the query.
    pub line: String,
    /// Size of the body, in bytes.
    pub size: usize,
    /// Time that the sender said it would wait, in milliseconds.
    pub deadline: Option<u64>,
    /// When it began.
    #[serde(skip)]
    pub started: Instant,
}

/// All that servers have run, by request.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Ledger {
    /// What was run of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("no holder panics");
        runs.get(id).cloned().unwrap_or_default()
    }

    /// All that was run.
    pub fn all(&self) -> HashMap<String, Vec<Run>> {
        self.runs.lock().expect("no holder panics").clone()
    }

    fn add(&self, id: &str, run: Run) {
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.entry(id.to_owned()).or_default().push(run);
    }
}

/// Shares of requests that a server fails, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Closes the connection and runs nothing.
    pub reset: f64,
    /// Runs the request and closes the connection without an answer.
    pub lose_response: f64,
    /// Runs the request and answers 500.
    pub fail: f64,
    /// Runs the request and never answers.
    pub hang: f64,
    /// Sheds the request.
    pub shed: f64,
    /// Runs the request and breaks its answer off.
    pub truncate: f64,
    /// Runs the request and answers with another one's id.
    pub mismatch: f64,
    /// Time that a request takes.
    pub work: Duration,
}

/// What a server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Deed {
    Answer,
    Reset,
    Lose,
    Fail,
    Hang,
    Shed,
    Spoil,
    Mix,
}

impl Behaviour {
    fn draw(&self) -> Deed {
        let mut left = rand::rng().random::<f64>();
        let deeds = [
            (self.reset, Deed::Reset),
            (self.lose_response, Deed::Lose),
            (self.fail, Deed::Fail),
            (self.hang, Deed::Hang),
            (self.shed, Deed::Shed),
            (self.truncate, Deed::Spoil),
            (self.mismatch, Deed::Mix),
        ];
        for (share, deed) in deeds {
            left -= share;
            if left < 0.0 {
                return deed;
            }
        }
        Deed::Answer
    }
}

/// A backend server.
pub struct Server {
    id: String,
    service: String,
    slots: u32,
    busy: AtomicU32,
    behaviour: Mutex<Behaviour>,
    ledger: Arc<Ledger>,
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
            ledger,
        });
        tokio::spawn(accept(listener, server.clone()));
        server
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Changes what it does.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no holder panics") = behaviour;
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let (head, incoming) = request.into_parts();
        let behaviour = *self.behaviour.lock().expect("no holder panics");
        let text = |name: &str| header(&head.headers, name);
        let Some(id) = text(REQUEST_ID) else {
            return Ok(unrun(StatusCode::BAD_REQUEST, None));
        };
        if text(TARGET).is_some_and(|target| target != self.id) {
            return Ok(unrun(StatusCode::MISDIRECTED_REQUEST, Some(&id)));
        }
        let deed = behaviour.draw();
        if deed == Deed::Reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if deed == Deed::Shed || self.busy.load(Ordering::Relaxed) >= self.slots + QUEUE {
            return Ok(unrun(StatusCode::SERVICE_UNAVAILABLE, Some(&id)));
        }
        let content = incoming.collect().await.map_err(io::Error::other)?;
        self.ledger.add(
            &id,
            Run {
                server: self.id.clone(),
                service: self.service.clone(),
                line: format!("{} {}", head.method, head.uri),
                size: content.to_bytes().len(),
                deadline: text(DEADLINE).and_then(|millis| millis.parse().ok()),
                started: Instant::now(),
            },
        );
        self.busy.fetch_add(1, Ordering::Relaxed);
        let _busy = Busy(&self.busy);
        tokio::time::sleep(behaviour.work).await;
        match deed {
            Deed::Lose => Err(io::ErrorKind::ConnectionReset.into()),
            Deed::Hang => std::future::pending().await,
            Deed::Fail => Ok(self.signed(StatusCode::INTERNAL_SERVER_ERROR, &id, false)),
            Deed::Spoil => Ok(self.signed(StatusCode::OK, &id, true)),
            Deed::Mix => Ok(self.signed(StatusCode::OK, "another", false)),
            _ => Ok(self.signed(StatusCode::OK, &id, false)),
        }
    }

    fn signed(&self, status: StatusCode, id: &str, spoil: bool) -> Response<Body> {
        let content = expected_body(id);
        let size = content.len();
        let body = if spoil {
            broken(content.slice(..size / 2))
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
            let value = value.parse().expect("ids and figures are header text");
            headers.insert(name, value);
        }
        response
    }
}

/// Frees a slot when it is dropped.
struct Busy<'a>(&'a AtomicU32);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The body that belongs to a request.
pub fn expected_body(id: &str) -> Bytes {
    id.repeat(40).into()
}

/// Signature of an answer.
fn signature(server: &str, id: &str) -> String {
    format!("{server}.{id}")
}

/// Whether a success is the whole answer of a server to this request.
pub fn is_valid_response(headers: &HeaderMap, bytes: &[u8], id: &str) -> bool {
    let signed = header(headers, SIGNATURE);
    let own = signed.is_some_and(|text| text.ends_with(&format!(".{id}")));
    own && bytes == expected_body(id) && header(headers, REQUEST_ID).as_deref() == Some(id)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn unrun(status: StatusCode, id: Option<&str>) -> Response<Body> {
    let mut response = body::empty_response(status);
    let headers = response.headers_mut();
    headers.insert(NOT_RUN, http::HeaderValue::from_static("1"));
    if let Some(id) = id.and_then(|id| id.parse().ok()) {
        headers.insert(REQUEST_ID, id);
    }
    response
}

/// A body that breaks off.
fn broken(begin: Bytes) -> Body {
    let frames = [
        Ok(http_body::Frame::data(begin)),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ];
    body::boxed(http_body_util::StreamBody::new(futures::stream::iter(
        frames,
    )))
}

async fn accept(listener: TcpListener, server: Arc<Server>) {
    while let Ok((stream, _)) = listener.accept().await {
        let server = server.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { server.answer(request).await }
        });
        let connection = http1::Builder::new()
            .half_close(false)
            .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
        // Errors are what the server was told to do.
        tokio::spawn(async move { connection.await.ok() });
    }
}
