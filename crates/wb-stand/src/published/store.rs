//! Stand-in for the store of the users' platform, with fault injection.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::serve::Handler;

use crate::reply;

/// Header with the era of the store, which rises with each restored backup.
const ERA: &str = "store-era";
/// Path of the call that reads a whole table.
const TABLE_PATH: &str = "/-/rows-get";
/// Path of the call that writes.
const WRITE_PATH: &str = "/-/rows-tx";
/// Number of changes that are kept for feeds.
const HISTORY_MAX: usize = 2000;

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As the protocol says.
    #[default]
    Normal,
    /// With status 503, without executing the call.
    Unavailable,
    /// Never, without executing the call.
    Hang,
    /// Executes the call and never responds.
    LoseResponse,
    /// After this delay.
    Slow(Duration),
    /// With status 503 to reads of a whole table, and normally to other calls.
    NoTables,
    /// Executes calls about this table and never responds to them; to others, as the protocol says.
    LoseTable(&'static str),
    /// Executes writes this much later, and never responds to them; other calls as the protocol says.
    LateWrites(Duration),
    /// At once, with a response that takes this long to arrive.
    SlowResponse(Duration),
}

/// Id of a row: table, part and key.
type RowId = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
}

/// A state of the store, to which it can be restored.
#[derive(Clone)]
pub struct Backup {
    version: u64,
    rows: BTreeMap<RowId, Row>,
}

#[derive(Default)]
struct Inner {
    /// Number of times that a backup was restored.
    restores: u64,
    version: u64,
    rows: BTreeMap<RowId, Row>,
    /// Changes in order, each with its version, table and row.
    history: VecDeque<(u64, String, Value)>,
    /// Version up to which the history was compacted.
    compacted: u64,
    calls: HashMap<String, u64>,
    mode: Mode,
}

/// In-memory store.
pub struct Store {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl Store {
    /// Sets how the store responds. Feeds that wait are ended if it becomes unavailable.
    pub fn set_mode(&self, mode: Mode) {
        let mut inner = self.lock();
        inner.mode = mode;
        self.changed.send_replace(inner.version);
    }

    /// Returns the number of calls so far, by path.
    pub fn calls(&self) -> HashMap<String, u64> {
        self.lock().calls.clone()
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let inner = self.lock();
        let ids = inner.rows.keys().filter(|id| id.0 == table);
        ids.map(|id| id.2.clone()).collect()
    }

    /// Returns the encoded value of a row; `None` if there is none.
    pub fn row(&self, table: &str, key: &str) -> Option<String> {
        let inner = self.lock();
        let row = inner.rows.get(&row_id(table, key));
        row.map(|row| row.value.clone())
    }

    /// Writes a row, as an operator or a server does.
    pub fn put(&self, table: &str, key: &str, content: &[u8]) {
        let value = encode_base64(content);
        self.commit(vec![(row_id(table, key), Some(value))]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.commit(vec![(row_id(table, key), None)]);
    }

    /// Compacts the history completely, so that feeds must read the whole table again.
    pub fn compact(&self) {
        let mut inner = self.lock();
        inner.compacted = inner.version;
        inner.history.clear();
    }

    /// Returns the present state.
    pub fn backup(&self) -> Backup {
        let inner = self.lock();
        Backup {
            version: inner.version,
            rows: inner.rows.clone(),
        }
    }

    /// Goes back to an earlier state. What was written since is gone, and its versions are given out
    /// again.
    pub fn restore(&self, backup: Backup) {
        let mut inner = self.lock();
        inner.restores += 1;
        inner.version = backup.version;
        inner.compacted = backup.version;
        inner.rows = backup.rows;
        inner.history.clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Applies writes, of which those without a value remove the row, and returns the new version.
    fn commit(&self, writes: Vec<(RowId, Option<String>)>) -> u64 {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        for (id, value) in writes {
            let mut row = json!({
                "table": id.0, "part": id.1, "key": id.2, "ver": version,
            });
            match &value {
                Some(value) => row["value"] = json!(value),
                None => row["tombstone"] = json!(true),
            }
            inner.history.push_back((version, id.0.clone(), row));
            match value {
                Some(value) => inner.rows.insert(id, Row { value, version }),
                None => inner.rows.remove(&id),
            };
        }
        while inner.history.len() > HISTORY_MAX {
            if let Some((version, ..)) = inner.history.pop_front() {
                inner.compacted = version;
            }
        }
        drop(inner);
        self.changed.send_replace(version);
        version
    }

    fn get(&self, query: &HashMap<String, String>) -> Response<Body> {
        let inner = self.lock();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let in_range = |id: &&RowId| id.0 == table && id.2 >= from;
        let rows = inner.rows.iter().filter(|(id, _)| in_range(id));
        let rows: Vec<Value> = rows.map(|(id, row)| row_json(id, row)).collect();
        let body = json!({"rows": rows, "has_more": false, "ver": inner.version, "now_ms": 0});
        reply::json(StatusCode::OK, &body)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let table = query.get("table").cloned().unwrap_or_default();
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            if self.lock().mode == Mode::Unavailable {
                return reply::empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            if let Some(response) = self.changes(&table, after, tokio::time::Instant::now() >= end)
            {
                return response;
            }
            // After the wait, the next iteration responds even without changes.
            let _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }

    /// Returns the response of a feed; `None` if there are no changes and the wait is not over.
    fn changes(&self, table: &str, after: u64, wait_over: bool) -> Option<Response<Body>> {
        let inner = self.lock();
        if after < inner.compacted || after > inner.version {
            return Some(reply::empty_response(StatusCode::GONE));
        }
        let changes = inner.history.iter();
        let changes = changes.filter(|(version, of, _)| *version > after && of == table);
        let rows: Vec<&Value> = changes.map(|(_, _, row)| row).collect();
        if rows.is_empty() && !wait_over {
            return None;
        }
        let body = json!({"rows": rows, "ver": inner.version, "now_ms": 0});
        Some(reply::json(StatusCode::OK, &body))
    }

    fn transact(&self, call: &Value) -> Response<Body> {
        let id_of = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let preconditions_hold = {
            let inner = self.lock();
            rows("precondition").iter().all(|row| {
                let version = inner.rows.get(&id_of(row)).map_or(0, |row| row.version);
                row["ver"].as_u64() == Some(version)
            })
        };
        if !preconditions_hold {
            let inner = self.lock();
            let named = rows("precondition");
            let current = named.iter().map(&id_of).filter_map(|id| {
                let row = inner.rows.get(&id)?;
                Some(row_json(&id, row))
            });
            let current: Vec<Value> = current.collect();
            return reply::json(StatusCode::PRECONDITION_FAILED, &json!({"rows": current}));
        }
        let mut writes = Vec::new();
        for row in rows("upserts") {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            writes.push((id_of(&row), Some(value)));
        }
        writes.extend(rows("remove").iter().map(|row| (id_of(row), None)));
        let read_only = ["op", "servers"];
        if writes
            .iter()
            .any(|(id, _)| read_only.contains(&id.0.as_str()))
        {
            return reply::empty_response(StatusCode::FORBIDDEN);
        }
        let version = self.commit(writes);
        reply::json(StatusCode::OK, &json!({"ver": version, "now_ms": 0}))
    }

    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let mut response = self.handle_call(request).await;
        let era = self.lock().restores + 1;
        response.headers_mut().insert(ERA, era.into());
        response
    }

    async fn handle_call(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let mode = {
            let mut inner = self.lock();
            *inner.calls.entry(path.clone()).or_default() += 1;
            inner.mode
        };
        match mode {
            Mode::NoTables if path == TABLE_PATH => {
                return reply::empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            Mode::Normal
            | Mode::LateWrites(_)
            | Mode::NoTables
            | Mode::LoseResponse
            | Mode::LoseTable(_)
            | Mode::SlowResponse(_) => {}
            Mode::Unavailable => return reply::empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Hang => return std::future::pending().await,
            Mode::Slow(delay) => tokio::time::sleep(delay).await,
        }
        let response = match path.as_str() {
            TABLE_PATH => self.get(&query),
            "/-/rows-feed" => self.feed(&query).await,
            WRITE_PATH => match reply::read::<Value>(request.into_body()).await {
                Ok(call) => self.transact(&call),
                Err(response) => response,
            },
            _ => reply::empty_response(StatusCode::NOT_FOUND),
        };
        // A feed may have begun to wait in another mode.
        let lost = match self.lock().mode {
            Mode::LoseTable(table) => query.get("table").is_some_and(|of| of == table),
            _ => false,
        };
        if lost {
            return std::future::pending().await;
        }
        match mode {
            Mode::LoseResponse => std::future::pending().await,
            Mode::SlowResponse(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
        response
    }
}

fn row_json(id: &RowId, row: &Row) -> Value {
    json!({
        "table": id.0, "part": id.1, "key": id.2,
        "value": row.value, "ver": row.version,
    })
}

fn row_id(table: &str, key: &str) -> RowId {
    (table.to_owned(), String::new(), key.to_owned())
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn encode_base64(content: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(content)
}

/// Executes a write after a delay, whatever has become of its caller.
async fn write_late(store: Arc<Store>, request: Request<RequestBody>, delay: Duration) {
    if let Ok(call) = reply::read::<Value>(request.into_body()).await {
        tokio::time::sleep(delay).await;
        store.transact(&call);
    }
}

/// HTTP handler of a store.
pub struct StoreHandler(pub Arc<Store>);

impl Handler for StoreHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let mode = self.0.lock().mode;
        if let Mode::LateWrites(delay) = mode
            && request.uri().path() == WRITE_PATH
        {
            tokio::spawn(write_late(self.0.clone(), request, delay));
            return std::future::pending().boxed();
        }
        async move { self.0.respond(request).await }.boxed()
    }
}
