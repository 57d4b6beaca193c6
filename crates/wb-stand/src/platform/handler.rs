//! Request handling of the platform, with fault injection.

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

/// Size limit of an object, in bytes.
const OBJECT_MAX: usize = 16 * 1024 * 1024;
/// Timeout for the next data of a request body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Refuses every call with status 503.
    pub outage: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Number of further transactions that are processed without a response.
    pub lost: u32,
    /// Time by which the list of processes lags, in milliseconds.
    pub lag_ms: u64,
    /// Serves reads of tables from a snapshot that was taken when this was set.
    pub stale: bool,
}

/// A roster and the time from which it is valid.
struct TimedRoster {
    since: Instant,
    roster: Roster,
}

#[derive(Default)]
struct State {
    store: Store,
    snapshot: Store,
    faults: PlatformFaults,
    rosters: VecDeque<TimedRoster>,
}

/// Stand-in for the platform.
#[derive(Default)]
pub struct StandInPlatform {
    state: Mutex<State>,
}

impl StandInPlatform {
    /// Creates a platform that lists these processes.
    pub fn new(roster: Roster) -> Self {
        let platform = Self::default();
        platform.add_roster(roster);
        platform
    }

    fn add_roster(&self, roster: Roster) {
        let since = Instant::now();
        let mut state = self.state.lock().expect("lock is not poisoned");
        state.rosters.push_back(TimedRoster { since, roster });
    }

    /// Returns the newest roster that is at least as old as the lag, or else the oldest one.
    fn roster(&self) -> Roster {
        let mut state = self.state.lock().expect("lock is not poisoned");
        let lag = Duration::from_millis(state.faults.lag_ms);
        let visible = |timed: &TimedRoster| timed.since.elapsed() >= lag;
        while state.rosters.len() > 1 && visible(&state.rosters[1]) {
            state.rosters.pop_front();
        }
        let first = state.rosters.front();
        first.map(|timed| timed.roster.clone()).unwrap_or_default()
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.state.lock().expect("lock is not poisoned");
        if faults.stale && !state.faults.stale {
            state.snapshot = state.store.clone();
        }
        state.faults = faults;
    }

    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/control/") {
            return self.control(rest, request).await;
        }
        let faults = self
            .state
            .lock()
            .expect("lock is not poisoned")
            .faults
            .clone();
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
            return self.read_table(rest, request.uri().query());
        }
        if let Some(object) = path.strip_prefix("/v1/objects") {
            return self.object(object, request).await;
        }
        reply::empty_response(StatusCode::NOT_FOUND)
    }

    async fn control(&self, path: &str, request: Request<RequestBody>) -> Response<Body> {
        if path == "faults" {
            return match reply::read(request.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    reply::empty_response(StatusCode::OK)
                }
                Err(response) => response,
            };
        }
        if path == "roster" {
            return match reply::read(request.into_body()).await {
                Ok(roster) => {
                    self.add_roster(roster);
                    reply::empty_response(StatusCode::OK)
                }
                Err(response) => response,
            };
        }
        reply::empty_response(StatusCode::NOT_FOUND)
    }

    async fn transact(&self, request: Request<RequestBody>) -> Response<Body> {
        let transaction: Transaction = match reply::read(request.into_body()).await {
            Ok(transaction) => transaction,
            Err(response) => return response,
        };
        let (result, lost) = {
            let mut state = self.state.lock().expect("lock is not poisoned");
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

    fn read_table(&self, path: &str, query: Option<&str>) -> Response<Body> {
        let state = self.state.lock().expect("lock is not poisoned");
        let store = if state.faults.stale {
            &state.snapshot
        } else {
            &state.store
        };
        if let Some((table, key)) = path.split_once('/') {
            return match store.row(table, key) {
                Some(row) => reply::json(StatusCode::OK, row),
                None => reply::empty_response(StatusCode::NOT_FOUND),
            };
        }
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        reply::json(StatusCode::OK, &store.rows(path, after))
    }

    async fn object(&self, path: &str, request: Request<RequestBody>) -> Response<Body> {
        let path = path.trim_start_matches('/');
        if request.method() == Method::PUT {
            let read = body::read(request.into_body(), OBJECT_MAX, IDLE_TIMEOUT).await;
            let Ok(content) = read else {
                return reply::empty_response(StatusCode::BAD_REQUEST);
            };
            let mut state = self.state.lock().expect("lock is not poisoned");
            state.store.put_object(path, content);
            return reply::empty_response(StatusCode::OK);
        }
        let state = self.state.lock().expect("lock is not poisoned");
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
        async move { self.respond(request).await }.boxed()
    }
}
