//! Stand-in of the platform's store, with lost responses.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;

/// Time that a transaction takes.
const WRITE_TIME: Duration = Duration::from_millis(5);
/// Most rows in one response.
const PAGE_SIZE: usize = 500;

/// Table and key of a row. The part is always empty.
type RowId = (String, String);

#[derive(Default)]
struct Inner {
    version: u64,
    /// Rows with their value in base64 and their version.
    rows: BTreeMap<RowId, (String, u64)>,
    history: Vec<(u64, String, String)>,
    /// Table of which all responses are lost, if any.
    lossy_table: Option<String>,
    /// Responses since the loss began, and those among them that were lost.
    answered: u32,
    lost: u32,
}

/// The store.
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    record: Arc<Record>,
    begin: Instant,
}

/// A response: status and body.
type Reply = (u16, String);

impl Store {
    /// Starts the store on an address. Returns it and its address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(address: SocketAddr, record: Arc<Record>) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            inner: Mutex::default(),
            changed: Condvar::new(),
            record,
            begin: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Writes a row, as the operator or a server does. Returns once it is acknowledged.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        let row = (table.to_owned(), key.to_owned());
        self.commit(vec![(row, Some(base64(content.as_bytes())))]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.commit(vec![((table.to_owned(), key.to_owned()), None)]);
    }

    /// Loses all responses about a table from now on, or none.
    pub fn set_lossy(&self, table: Option<&str>) {
        self.lock().lossy_table = table.map(str::to_owned);
    }

    /// Responses while responses were lost, and those among them that were lost.
    pub fn losses(&self) -> (u32, u32) {
        let inner = self.lock();
        (inner.answered, inner.lost)
    }

    fn commit(&self, writes: Vec<(RowId, Option<String>)>) -> u64 {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        for (row, value) in writes {
            let text = row_text(&row, version, value.as_deref());
            inner.history.push((version, row.0.clone(), text));
            match value {
                Some(value) => inner.rows.insert(row, (value, version)),
                None => inner.rows.remove(&row),
            };
        }
        drop(inner);
        self.changed.notify_all();
        version
    }

    fn now_ms(&self) -> u128 {
        self.begin.elapsed().as_millis()
    }

    fn serve(&self, stream: TcpStream) {
        // A connection that can't be set up ends like one that breaks.
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut writing = stream;
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.reply(&request);
            if self.loses(&request) {
                self.record
                    .line(&format!("store loses the response to {}", request.start));
                // The connection delivers nothing further.
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            let start = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut writing, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn loses(&self, request: &Message) -> bool {
        let mut inner = self.lock();
        let Some(table) = inner.lossy_table.clone() else {
            return false;
        };
        inner.answered += 1;
        let loses = query(request.target(), "table") == table;
        inner.lost += u32::from(loses);
        loses
    }

    fn reply(&self, request: &Message) -> Reply {
        match request.target().split('?').next().unwrap_or("") {
            "/-/rows-get" => self.read(request.target()),
            "/-/rows-feed" => self.feed(request.target()),
            "/-/rows-tx" => self.transact(request),
            _ => (404, String::new()),
        }
    }

    fn read(&self, target: &str) -> Reply {
        let table = query(target, "table");
        let from = query(target, "from");
        let inner = self.lock();
        let matching = |row: &&RowId| row.0 == table && row.1 >= from;
        let found = inner.rows.iter().filter(|(row, _)| matching(row));
        let mut rows: Vec<String> = found
            .map(|(row, (value, version))| row_text(row, *version, Some(value)))
            .collect();
        let has_more = rows.len() > PAGE_SIZE;
        rows.truncate(PAGE_SIZE);
        let body = format!(
            r#"{{"rows":[{}],"has_more":{has_more},"ver":{},"now_ms":{}}}"#,
            rows.join(","),
            inner.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, target: &str) -> Reply {
        let table = query(target, "table");
        let after: u64 = query(target, "after").parse().unwrap_or(0);
        let wait: u64 = query(target, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        loop {
            let newer = |change: &&(u64, String, String)| change.0 > after && change.1 == table;
            let changes = inner.history.iter().filter(newer);
            let rows: Vec<&str> = changes.map(|change| change.2.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"rows":[{}],"ver":{},"now_ms":{}}}"#,
                    rows.join(","),
                    inner.version,
                    self.now_ms()
                );
                return (200, body);
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.expect("lock is not poisoned").0;
        }
    }

    fn transact(&self, request: &Message) -> Reply {
        thread::sleep(WRITE_TIME);
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&text) else {
            return (400, String::new());
        };
        let rows = |name: &str| call.get(name).map_or(&[][..], Json::items);
        let id = |row: &Json| (row.text("table").to_owned(), row.text("key").to_owned());
        let mut writes: Vec<(RowId, Option<String>)> = Vec::new();
        for row in rows("upserts") {
            writes.push((id(row), Some(row.text("value").to_owned())));
        }
        writes.extend(rows("remove").iter().map(|row| (id(row), None)));
        let reserved = |(row, _): &(RowId, Option<String>)| row.0 == "op" || row.0 == "servers";
        if writes.iter().any(reserved) {
            return (403, String::new());
        }
        let version = self.commit(writes);
        (
            200,
            format!(r#"{{"ver":{version},"now_ms":{}}}"#, self.now_ms()),
        )
    }
}

fn row_text(row: &RowId, version: u64, value: Option<&str>) -> String {
    let (table, key) = row;
    let content = value.map_or(r#""tombstone":true"#.to_owned(), |value| {
        format!(r#""value":"{value}""#)
    });
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{content}}}"#)
}

/// Value of a parameter in the query of a target, with percent escapes resolved.
fn query(target: &str, name: &str) -> String {
    let pairs = target.split_once('?').map_or("", |(_, query)| query);
    let pairs: HashMap<&str, &str> = pairs
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let mut bytes = pairs.get(name).unwrap_or(&"").bytes();
    let mut text = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            text.push(byte);
            continue;
        }
        let digits: String = bytes.by_ref().take(2).map(char::from).collect();
        text.extend(u8::from_str_radix(&digits, 16));
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            let padding = index > chunk.len();
            text.push(if padding { '=' } else { char::from(digit) });
        }
    }
    text
}
