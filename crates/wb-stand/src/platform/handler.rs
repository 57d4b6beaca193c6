//! Calls of the platform, and its faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve::Handler;
use wb_platform::protocol::Names;
use wb_platform::protocol::Transaction;
use wb_types::roster::Roster;

use super::Store;
use crate::reply;

/// Largest object, in bytes.
const OBJECT_MAX: usize = 16 * 1024 * 1024;
/// Longest pause inside a body.
const IDLE: Duration = Duration::from_secs(5);

/// What is wrong with the platform at the moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuses every call.
    pub outage: bool,
    /// Answers so much later, in milliseconds.
    pub slow_ms: u64,
    /// Commits so many transactions without an answer.
    pub lost: u32,
    /// Time by which the list lags, in milliseconds.
    pub lag_ms: u64,
    /// Answers reads of tables from a copy made when this was set.
    pub stale: bool,
}

/// A roster and when it became true.
struct Listed {
    since: Instant,
    roster: Roster,
}

#[derive(Default)]
struct State {
    store: Store,
    copy: Store,
    faults: Faults,
    listed: VecDeque<Listed>,
}

/// The platform's stand-in.
#[derive(Default)]
pub struct StandInPlatform {
    state: Mutex<State>,
}

impl StandInPlatform {
    /// A platform that lists these processes.
    pub fn new(roster: Roster) -> Self {
        let stand = Self::default();
        stand.list(roster);
        stand
    }

    fn list(&self, roster: Roster) {
        let since = Instant::now();
        let mut state = self.state.lock().expect("no holder panics");
        state.listed.push_back(Listed { since, roster });
    }

    fn roster(&self) -> Roster {
        let mut state = self.state.lock().expect("no holder panics");
        let lag = Duration::from_millis(state.faults.lag_ms);
        let old = |listed: &Listed| listed.since.elapsed() >= lag;
        while state.listed.len() > 1 && old(&state.listed[1]) {
            state.listed.pop_front();
        }
        let first = state.listed.front();
        first
            .map(|listed| listed.roster.clone())
            .unwrap_or_default()
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock().expect("no holder panics");
        if faults.stale && !state.faults.stale {
            state.copy = state.store.clone();
        }
        state.faults = faults;
    }

    async fn answer(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/control/") {
            return self.control(rest, request).await;
        }
        let faults = self.state.lock().expect("no holder panics").faults.clone();
        if faults.outage {
            return reply::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if path == "/v1/list" {
            return reply::json(StatusCode::OK, &self.roster());
        }
        if path == "/v1/transactions" {
            return self.transact(request).await;
        }
        if let Some(rest) = path.strip_prefix("/v1/tables/") {
            return self.read(rest, request.uri().query());
        }
        if let Some(object) = path.strip_prefix("/v1/objects") {
            return self.object(object, request).await;
        }
        reply::empty_response(StatusCode::NOT_FOUND)
    }

    async fn control(&self, what: &str, request: Request<RequestBody>) -> Response<Body> {
        if what == "faults" {
            return match reply::read(request.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    reply::empty_response(StatusCode::OK)
                }
                Err(answer) => answer,
            };
        }
        if what == "roster" {
            return match reply::read(request.into_body()).await {
                Ok(roster) => {
                    self.list(roster);
                    reply::empty_response(StatusCode::OK)
                }
                Err(answer) => answer,
            };
        }
        reply::empty_response(StatusCode::NOT_FOUND)
    }

    async fn transact(&self, request: Request<RequestBody>) -> Response<Body> {
        let transaction: Transaction = match reply::read(request.into_body()).await {
            Ok(transaction) => transaction,
            Err(answer) => return answer,
        };
        let (result, lost) = {
            let mut state = self.state.lock().expect("no holder panics");
            let lost = state.faults.lost > 0;
            state.faults.lost = state.faults.lost.saturating_sub(1);
            (state.store.transact(transaction), lost)
        };
        if lost {
            futures::future::pending::<()>().await;
        }
        match result {
            Ok(done) => reply::json(StatusCode::OK, &done),
            Err(conflicts) => reply::json(StatusCode::CONFLICT, &conflicts),
        }
    }

    fn read(&self, rest: &str, query: Option<&str>) -> Response<Body> {
        let state = self.state.lock().expect("no holder panics");
        let store = if state.faults.stale {
            &state.copy
        } else {
            &state.store
        };
        if let Some((table, key)) = rest.split_once('/') {
            return match store.row(table, key) {
                Some(row) => reply::json(StatusCode::OK, row),
                None => reply::empty_response(StatusCode::NOT_FOUND),
            };
        }
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        reply::json(StatusCode::OK, &store.rows(rest, after))
    }

    async fn object(&self, path: &str, request: Request<RequestBody>) -> Response<Body> {
        let path = path.trim_start_matches('/');
        if request.method() == Method::PUT {
            let read = body::read(request.into_body(), OBJECT_MAX, IDLE).await;
            let Ok(content) = read else {
                return reply::empty_response(StatusCode::BAD_REQUEST);
            };
            let mut state = self.state.lock().expect("no holder panics");
            state.store.put_object(path, content);
            return reply::empty_response(StatusCode::OK);
        }
        let state = self.state.lock().expect("no holder panics");
        if path.is_empty() {
            let query = request.uri().query().unwrap_or_default();
            let prefix = query.strip_prefix("prefix=").unwrap_or_default();
            let names = state.store.object_names(prefix);
            return reply::json(StatusCode::OK, &Names { names });
        }
        match state.store.object(path) {
            Some(content) => Response::new(body::full(Bytes::clone(&content))),
            None => reply::empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for StandInPlatform {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.answer(request).await }.boxed()
    }
}
