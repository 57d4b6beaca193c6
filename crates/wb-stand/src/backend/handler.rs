//! Requests of one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Semaphore;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve::Handler;
use wb_types::roster::Server;

use super::Backend;
use super::Knobs;
use super::Ledger;
use super::Stats;
use super::answer;
use super::work;
use crate::reply;

/// Time of a probe.
const PROBE: Duration = Duration::from_millis(25);
/// Time until a cold server is warm.
const WARM: Duration = Duration::from_secs(10);

/// Decrements a counter when it is dropped.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Backend {
    /// A healthy server.
    pub fn new(server: Server, ledger: Arc<Ledger>) -> Self {
        let stats = Stats {
            server: format!("{}/{}", server.service, server.name),
            ..Stats::default()
        };
        Self {
            slots: Arc::new(Semaphore::new(server.slots as usize)),
            server,
            busy: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            knobs: Mutex::default(),
            stats: Mutex::new(stats),
            ledger,
            started: Instant::now(),
        }
    }

    /// The server as it is listed.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets what is wrong with it.
    pub fn set_knobs(&self, knobs: Knobs) {
        *self.knobs.lock().expect("no holder panics") = knobs;
    }

    /// Its counts.
    pub fn stats(&self) -> Stats {
        self.stats.lock().expect("no holder panics").clone()
    }

    /// Notes the number of open connections.
    pub fn record_connections(&self, open: u32) {
        let mut stats = self.stats.lock().expect("no holder panics");
        stats.connections = stats.connections.max(open);
    }

    fn knobs(&self) -> Knobs {
        let knobs = self.knobs.lock().expect("no holder panics").clone();
        if knobs.flap_ms == 0 {
            return knobs;
        }
        let turn = self.started.elapsed().as_millis() as u64 / knobs.flap_ms;
        if turn.is_multiple_of(2) {
            knobs
        } else {
            Knobs {
                backlog: knobs.backlog,
                ..Knobs::default()
            }
        }
    }

    async fn serve(&self, request: Request<RequestBody>) -> Response<Body> {
        if request.uri().path() == "/health" {
            tokio::time::sleep(PROBE).await;
            return reply::empty_response(StatusCode::OK);
        }
        let knobs = self.knobs();
        self.count(|stats| {
            stats.requests += 1;
            stats.late += u64::from(knobs.leaving);
        });
        let response = self.run(request, &knobs).await;
        self.report(response, &knobs)
    }

    async fn run(&self, request: Request<RequestBody>, knobs: &Knobs) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let backlog = self.server.slots * knobs.backlog;
        if self.waiting.load(Ordering::Relaxed) >= backlog {
            return self.shed();
        }
        let permit = {
            let _waiting = Counted::new(&self.waiting);
            let waited = tokio::time::timeout(deadline(&parts.headers), self.slots.acquire());
            match waited.await {
                Ok(permit) => permit.expect("the semaphore is never closed"),
                Err(_) => return self.shed(),
            }
        };
        let _busy = Counted::new(&self.busy);
        let started = Instant::now();
        if let Some(order) = parts.headers.get(work::ORDER) {
            self.ledger.record(order.to_str().unwrap_or_default());
        }
        if knobs.silent {
            futures::future::pending::<()>().await;
        }
        let response = self.work(&parts, incoming, knobs).await;
        drop(permit);
        let took = started.elapsed().as_micros() as u64;
        self.count(|stats| stats.busy_us += took);
        response
    }

    async fn work(&self, parts: &Parts, incoming: RequestBody, knobs: &Knobs) -> Response<Body> {
        let Some(body) = drain(incoming).await else {
            return reply::empty_response(StatusCode::BAD_REQUEST);
        };
        let time = work::work_time(&parts.headers).mul_f64(knobs.slow * self.coldness(knobs));
        tokio::time::sleep(time).await;
        if rand::random::<f64>() < knobs.fail {
            return reply::empty_response(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let order = parts.headers.get(work::ORDER);
        let order = order.and_then(|order| order.to_str().ok()).unwrap_or("");
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let digest = digest_of(parts.method.as_str(), path, order, body);
        let content = work::response_body(&digest, work::answer_length(&parts.headers));
        let length = content.len();
        let broken = rand::random::<f64>() < knobs.cut;
        let body = if broken {
            answer::broken(&content)
        } else {
            body::full(content)
        };
        let mut response = Response::new(body);
        response
            .headers_mut()
            .insert("content-length", length.into());
        response
    }

    /// Factor on the time of work while the server is cold.
    fn coldness(&self, knobs: &Knobs) -> f64 {
        let left = 1.0 - (self.started.elapsed().as_secs_f64() / WARM.as_secs_f64()).min(1.0);
        1.0 + (knobs.cold - 1.0).max(0.0) * left
    }

    fn shed(&self) -> Response<Body> {
        self.count(|stats| stats.shed += 1);
        let mut response = reply::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert("x-shed", 1.into());
        response
    }

    /// Adds the load that the server reports, and whether it is leaving.
    fn report(&self, mut response: Response<Body>, knobs: &Knobs) -> Response<Body> {
        let busy = self.busy.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed);
        response.headers_mut().insert("x-load", busy.into());
        if knobs.leaving {
            response.headers_mut().insert("x-leaving", 1.into());
        }
        response
    }

    fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.stats.lock().expect("no holder panics"));
    }
}

impl Handler for Backend {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.serve(request).await }.boxed()
    }
}

fn deadline(headers: &HeaderMap) -> Duration {
    let header = headers.get("x-deadline-ms");
    let millis = header.and_then(|header| header.to_str().ok()?.parse().ok());
    Duration::from_millis(millis.unwrap_or(60_000))
}

/// Reads a body and gives its digest; `None` if it breaks off.
async fn drain(mut incoming: RequestBody) -> Option<[u8; 32]> {
    let mut hasher = Sha256::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            hasher.update(&data);
        }
    }
    Some(hasher.finalize().into())
}

/// The same digest as [`work::request_digest`], from the digest of the body.
fn digest_of(method: &str, path: &str, order: &str, body: [u8; 32]) -> String {
    let mut hasher = Sha256::new();
    for part in [method, path, order] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    hasher.update(body);
    work::finish(hasher)
}
