//! Request handling of one backend server.

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
use http::HeaderValue;
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
use super::Ledger;
use super::ServerFaults;
use super::Stats;
use super::response;
use super::work;
use crate::reply;

/// Header with the id of a request, which responses repeat.
const REQUEST_ID: &str = "x-request-id";
/// Id in the refusal of an earlier request, which no request of a test has.
const EARLIER_REQUEST: HeaderValue = HeaderValue::from_static("earlier");
/// Duration of a health check.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(25);
/// Warm-up time after a cold start.
const WARMUP: Duration = Duration::from_secs(10);

/// Increments a counter, and decrements it when the guard is dropped.
struct CounterGuard<'a>(&'a AtomicU32);

impl<'a> CounterGuard<'a> {
    fn new(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Backend {
    /// Creates a server without faults.
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
            faults: Mutex::default(),
            stats: Mutex::new(stats),
            ledger,
            started: Instant::now(),
        }
    }

    /// Returns the server as the roster lists it.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: ServerFaults) {
        *self.faults.lock().expect("lock is not poisoned") = faults;
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.stats.lock().expect("lock is not poisoned").clone()
    }

    /// Records the current number of open connections.
    pub fn record_connections(&self, open: u32) {
        let mut stats = self.stats.lock().expect("lock is not poisoned");
        stats.connections = stats.connections.max(open);
    }

    /// Returns the faults that are active now. Between the active phases of a flapping server, only
    /// the backlog limit applies.
    fn active_faults(&self) -> ServerFaults {
        let faults = self.faults.lock().expect("lock is not poisoned").clone();
        if faults.flap_ms == 0 {
            return faults;
        }
        let phase = self.started.elapsed().as_millis() as u64 / faults.flap_ms;
        if phase.is_multiple_of(2) {
            faults
        } else {
            ServerFaults {
                backlog: faults.backlog,
                ..ServerFaults::default()
            }
        }
    }

    async fn serve(&self, request: Request<RequestBody>) -> Response<Body> {
        if request.uri().path() == "/health" {
            tokio::time::sleep(HEALTH_CHECK_TIME).await;
            return reply::empty_response(StatusCode::OK);
        }
        let faults = self.active_faults();
        self.update_stats(|stats| {
            stats.requests += 1;
            stats.late += u64::from(faults.leaving);
        });
        let id = request.headers().get(REQUEST_ID).cloned();
        let mut response = self.queue_and_execute(request, &faults).await;
        if let Some(id) = id {
            response.headers_mut().entry(REQUEST_ID).or_insert(id);
        }
        self.add_status_headers(response, &faults)
    }

    async fn queue_and_execute(
        &self,
        request: Request<RequestBody>,
        faults: &ServerFaults,
    ) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let backlog = self.server.slots * faults.backlog;
        if self.waiting.load(Ordering::Relaxed) >= backlog {
            return self.shed();
        }
        let permit = {
            let _waiting = CounterGuard::new(&self.waiting);
            let waited = tokio::time::timeout(deadline(&parts.headers), self.slots.acquire());
            match waited.await {
                Ok(permit) => permit.expect("the semaphore is never closed"),
                Err(_) => return self.shed(),
            }
        };
        let _busy = CounterGuard::new(&self.busy);
        let started = Instant::now();
        if let Some(order) = parts.headers.get(work::ORDER) {
            self.ledger.record(order.to_str().unwrap_or_default());
        }
        if faults.silent {
            futures::future::pending::<()>().await;
        }
        let response = self.execute(&parts, incoming, faults).await;
        let response = if rand::random::<f64>() < faults.repeat {
            let mut refusal = self.shed();
            refusal.headers_mut().insert(REQUEST_ID, EARLIER_REQUEST);
            refusal
        } else {
            response
        };
        drop(permit);
        let took = started.elapsed().as_micros() as u64;
        self.update_stats(|stats| stats.busy_us += took);
        response
    }

    async fn execute(
        &self,
        parts: &Parts,
        incoming: RequestBody,
        faults: &ServerFaults,
    ) -> Response<Body> {
        let Some(body_digest) = read_digest(incoming).await else {
            return reply::empty_response(StatusCode::BAD_REQUEST);
        };
        let duration =
            work::work_duration(&parts.headers).mul_f64(faults.slow * self.warmup_factor(faults));
        tokio::time::sleep(duration).await;
        if rand::random::<f64>() < faults.fail {
            return reply::empty_response(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let order = parts.headers.get(work::ORDER);
        let order = order.and_then(|order| order.to_str().ok()).unwrap_or("");
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let digest = digest_of(parts.method.as_str(), path, order, body_digest);
        let content = work::response_body(&digest, work::response_length(&parts.headers));
        let length = content.len();
        let cut = rand::random::<f64>() < faults.cut;
        let body = if cut {
            response::truncated(&content)
        } else {
            body::full(content)
        };
        let mut response = Response::new(body);
        response
            .headers_mut()
            .insert("content-length", length.into());
        response
    }

    /// Factor on the duration of requests during the warm-up.
    fn warmup_factor(&self, faults: &ServerFaults) -> f64 {
        let left = 1.0 - (self.started.elapsed().as_secs_f64() / WARMUP.as_secs_f64()).min(1.0);
        1.0 + (faults.cold - 1.0).max(0.0) * left
    }

    fn shed(&self) -> Response<Body> {
        self.update_stats(|stats| stats.shed += 1);
        let mut response = reply::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert("x-shed", 1.into());
        response
    }

    /// Adds the headers that report the load of the server and whether it is leaving.
    fn add_status_headers(
        &self,
        mut response: Response<Body>,
        faults: &ServerFaults,
    ) -> Response<Body> {
        let busy = self.busy.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed);
        response.headers_mut().insert("x-load", busy.into());
        if faults.leaving {
            response.headers_mut().insert("x-leaving", 1.into());
        }
        response
    }

    fn update_stats(&self, update: impl FnOnce(&mut Stats)) {
        update(&mut self.stats.lock().expect("lock is not poisoned"));
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

/// Reads a body and returns its digest; `None` if the body is incomplete.
async fn read_digest(mut incoming: RequestBody) -> Option<[u8; 32]> {
    let mut hasher = Sha256::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            hasher.update(&data);
        }
    }
    Some(hasher.finalize().into())
}

/// Returns the same digest as [`work::request_digest`], from the digest of the body.
fn digest_of(method: &str, path: &str, order: &str, body_digest: [u8; 32]) -> String {
    let mut hasher = Sha256::new();
    for part in [method, path, order] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    hasher.update(body_digest);
    work::finish_hex(hasher)
}
