//! Structured log lines on standard output.
//!
//! A line is a JSON object: the time, the event's number and name, then the given fields. Lines are
//! passed to a writer thread over a bounded queue, so that a slow reader of the output delays no
//! request. Lines of routine events, such as requests that succeeded, are dropped first; a separate
//! line reports how many lines were dropped.

use std::fmt;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::Event;

/// Capacity of the queue, in lines: a few seconds of a busy instance.
const QUEUE_CAPACITY: usize = 4096;
/// Number of queued lines at which lines of routine events are dropped, to leave room for the
/// others.
const ROUTINE_LIMIT: u64 = 1024;
/// Longest time that [`flush`] waits at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static SINK: OnceLock<Sink> = OnceLock::new();

/// Fields of a line, in the order in which they were added.
#[derive(Debug, Default)]
pub struct Fields(Map<String, Value>);

impl Fields {
    /// Adds a field with its JSON value, or with the error text if it can't be serialized.
    pub fn add<T: Serialize>(&mut self, name: &str, value: T) -> &mut Self {
        let value =
            serde_json::to_value(value).unwrap_or_else(|err| Value::String(err.to_string()));
        self.0.insert(name.to_owned(), value);
        self
    }

    /// Adds a field with its display text.
    pub fn add_display(&mut self, name: &str, value: impl fmt::Display) -> &mut Self {
        self.add(name, value.to_string())
    }
}

/// Destination of the lines.
struct Sink {
    instance: String,
    queue: SyncSender<String>,
    queued: &'static AtomicU64,
    dropped: &'static AtomicU64,
}

/// Number of lines in the queue.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Number of lines dropped since this was last reported by a line.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the writer on standard output. Lines logged before are lost, and a second call has no
/// effect.
pub fn start(instance: &str) {
    start_to(instance, std::io::stdout());
}

/// Starts the writer on the given output.
pub fn start_to(instance: &str, output: impl Write + Send + 'static) {
    let (queue, lines) = sync_channel(QUEUE_CAPACITY);
    let sink = Sink {
        instance: instance.to_owned(),
        queue,
        queued: &QUEUED,
        dropped: &DROPPED,
    };
    if SINK.set(sink).is_ok() {
        std::thread::spawn(move || run_writer(&lines, output));
    }
}

/// Waits a short time for the queued lines to be written.
pub fn flush() {
    let end = std::time::Instant::now() + FLUSH_TIMEOUT;
    while QUEUED.load(Ordering::Relaxed) > 0 && std::time::Instant::now() < end {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Number of lines dropped since this was last reported by a line.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Queues a line, or counts it as dropped. Never blocks.
pub fn write(event: Event, fields: Fields) {
    let Some(sink) = SINK.get() else {
        return;
    };
    let routine = event.is_routine();
    if routine && sink.queued.load(Ordering::Relaxed) >= ROUTINE_LIMIT {
        sink.dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let dropped = sink.dropped.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        let mut fields = Fields::default();
        fields.add("lines", dropped);
        if !sink.send(Event::LinesDropped, fields) {
            sink.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
    if !sink.send(event, fields) {
        sink.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

impl Sink {
    fn send(&self, event: Event, fields: Fields) -> bool {
        let text = format_line(&self.instance, event, fields);
        self.queued.fetch_add(1, Ordering::Relaxed);
        match self.queue.try_send(text) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.queued.fetch_sub(1, Ordering::Relaxed);
                false
            }
        }
    }
}

fn format_line(instance: &str, event: Event, fields: Fields) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis() as u64);
    let mut map = Map::new();
    map.insert("at_ms".to_owned(), millis.into());
    map.insert("instance".to_owned(), instance.into());
    map.insert("event".to_owned(), event.number().into());
    map.insert("name".to_owned(), event.to_string().into());
    map.extend(fields.0);
    let mut text = Value::Object(map).to_string();
    text.push('\n');
    text
}

fn run_writer(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        // Errors are ignored: there is no other place to report them.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
        QUEUED.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Logs an event as a structured line: `line!(Event::Routed, request = id, server = name)`. The
/// fields must serialize to JSON.
#[macro_export]
macro_rules! line {
    ($event:expr $(, $name:ident = $value:expr)* $(,)?) => {{
        let mut fields = $crate::line::Fields::default();
        $(fields.add(stringify!($name), &$value);)*
        $crate::line::write($event, fields);
    }};
}
