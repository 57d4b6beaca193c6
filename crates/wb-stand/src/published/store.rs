//! The users' store.

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

/// Changes that are kept for feeds.
const HISTORY: usize = 2000;

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As published.
    #[default]
    Normal,
    /// With 503, and does nothing.
    Unavailable,
    /// Not at all, and does nothing.
    Hang,
    /// Does what is asked and does not answer.
    LoseResponse,
    /// After this time.
    Slow(Duration),
}

/// Place of a row: table, part and key.
type Place = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    ver: u64,
}

#[derive(Default)]
struct Inner {
    ver: u64,
    rows: BTreeMap<Place, Row>,
    /// Changes in order, each with its version, table and row.
    history: VecDeque<(u64, String, Value)>,
    /// Version up to which history was dropped.
    dropped: u64,
    calls: HashMap<String, u64>,
    mode: Mode,
}

/// The store, in memory.
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
    /// Changes how it answers.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Calls so far, by path.
    pub fn calls(&self) -> HashMap<String, u64> {
        self.lock().calls.clone()
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let inner = self.lock();
        let places = inner.rows.keys().filter(|place| place.0 == table);
        places.map(|place| place.2.clone()).collect()
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, content: &[u8]) {
        let value = site_base64(content);
        self.commit(vec![(place(table, key), Some(value))]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.commit(vec![(place(table, key), None)]);
    }

    /// Drops the history, so that feeds must read anew.
    pub fn compact(&self) {
        let mut inner = self.lock();
        inner.dropped = inner.ver;
        inner.history.clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    fn commit(&self, writes: Vec<(Place, Option<String>)>) -> u64 {
        let mut inner = self.lock();
        inner.ver += 1;
        let ver = inner.ver;
        for (place, value) in writes {
            let mut row = json!({
                "table": place.0, "part": place.1, "key": place.2, "ver": ver,
            });
            match &value {
                Some(value) => row["value"] = json!(value),
                None => row["tombstone"] = json!(true),
            }
            inner.history.push_back((ver, place.0.clone(), row));
            match value {
                Some(value) => inner.rows.insert(place, Row { value, ver }),
                None => inner.rows.remove(&place),
            };
        }
        while inner.history.len() > HISTORY {
            if let Some((ver, ..)) = inner.history.pop_front() {
                inner.dropped = ver;
            }
        }
        drop(inner);
        self.changed.send_replace(ver);
        ver
    }

    fn get(&self, query: &HashMap<String, String>) -> Response<Body> {
        let inner = self.lock();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let fits = |place: &&Place| place.0 == table && place.2 >= from;
        let rows = inner.rows.iter().filter(|(place, _)| fits(place));
        let rows: Vec<Value> = rows
            .map(|(place, row)| {
                json!({
                    "table": place.0, "part": place.1, "key": place.2,
                    "value": row.value, "ver": row.ver,
                })
            })
            .collect();
        let body = json!({"rows": rows, "has_more": false, "ver": inner.ver, "now_ms": 0});
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
            if let Some(response) = self.changes(&table, after, tokio::time::Instant::now() >= end)
            {
                return response;
            }
            // The end of the wait is answered like a change.
            let _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }

    fn changes(&self, table: &str, after: u64, over: bool) -> Option<Response<Body>> {
        let inner = self.lock();
        if after < inner.dropped {
            return Some(reply::empty_response(StatusCode::GONE));
        }
        let new = inner.history.iter();
        let new = new.filter(|(ver, of, _)| *ver > after && of == table);
        let rows: Vec<&Value> = new.map(|(_, _, row)| row).collect();
        if rows.is_empty() && !over {
            return None;
        }
        let body = json!({"rows": rows, "ver": inner.ver, "now_ms": 0});
        Some(reply::json(StatusCode::OK, &body))
    }

    fn transact(&self, call: &Value) -> Response<Body> {
        let of = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let held = {
            let inner = self.lock();
            rows("precondition").iter().all(|row| {
                let ver = inner.rows.get(&of(row)).map_or(0, |row| row.ver);
                row["ver"].as_u64() == Some(ver)
            })
        };
        if !held {
            return reply::json(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
        }
        let mut writes = Vec::new();
        for row in rows("upserts") {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            writes.push((of(&row), Some(value)));
        }
        writes.extend(rows("remove").iter().map(|row| (of(row), None)));
        let forbidden = ["op", "servers"];
        if writes
            .iter()
            .any(|(place, _)| forbidden.contains(&place.0.as_str()))
        {
            return reply::empty_response(StatusCode::FORBIDDEN);
        }
        let ver = self.commit(writes);
        reply::json(StatusCode::OK, &json!({"ver": ver, "now_ms": 0}))
    }

    async fn answer(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = query(request.uri().query().unwrap_or_default());
        let mode = {
            let mut inner = self.lock();
            *inner.calls.entry(path.clone()).or_default() += 1;
            inner.mode
        };
        match mode {
            Mode::Normal | Mode::LoseResponse => {}
            Mode::Unavailable => return reply::empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Hang => return std::future::pending().await,
            Mode::Slow(time) => tokio::time::sleep(time).await,
        }
        let response = match path.as_str() {
            "/-/rows-get" => self.get(&query),
            "/-/rows-feed" => self.feed(&query).await,
            "/-/rows-tx" => match reply::read::<Value>(request.into_body()).await {
                Ok(call) => self.transact(&call),
                Err(answer) => answer,
            },
            _ => reply::empty_response(StatusCode::NOT_FOUND),
        };
        if mode == Mode::LoseResponse {
            return std::future::pending().await;
        }
        response
    }
}

fn place(table: &str, key: &str) -> Place {
    (table.to_owned(), String::new(), key.to_owned())
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn site_base64(content: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(content)
}

/// Serves a store.
pub struct StoreHandler(pub Arc<Store>);

impl Handler for StoreHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.0.answer(request).await }.boxed()
    }
}
