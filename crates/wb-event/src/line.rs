//! Structured lines on standard output.
//!
//! A line is a JSON object: the time, the event's number and name, then the fields that were
//! given. Lines are handed to a thread over a bounded queue, so that a reader that stalls delays
//! no request. Routine lines, of requests that went well, are the first to be dropped; a line of
//! its own says how many were.

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

/// Lines that wait for the writer, at most: a few seconds of a busy instance.
const QUEUE: usize = 4096;
/// Waiting lines beyond which routine lines are dropped, so that there is room for the others.
const ROUTINE_MAX: u64 = 1024;
/// Longest wait of the writer at the end of the process.
const FLUSH: Duration = Duration::from_millis(200);

static SINK: OnceLock<Sink> = OnceLock::new();

/// Fields of a line, in the order in which they were given.
#[derive(Debug, Default)]
pub struct Fields(Map<String, Value>);

impl Fields {
    /// Adds a field that serializes to JSON; one that does not is given by the error's text.
    pub fn add<T: Serialize>(&mut self, name: &str, value: T) -> &mut Self {
        let value =
            serde_json::to_value(value).unwrap_or_else(|err| Value::String(err.to_string()));
        self.0.insert(name.to_owned(), value);
        self
    }

    /// Adds a field by its text.
    pub fn text(&mut self, name: &str, value: impl fmt::Display) -> &mut Self {
        self.add(name, value.to_string())
    }
}

/// Where lines go.
struct Sink {
    instance: String,
    queue: SyncSender<String>,
    waiting: &'static AtomicU64,
    dropped: &'static AtomicU64,
}

/// Lines that wait for the writer.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the last line that said so.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the writer. Lines before this are lost, as are those of a second call.
pub fn start(instance: &str) {
    start_to(instance, std::io::stdout());
}

/// Starts the writer on an output of the caller's choice.
pub fn start_to(instance: &str, output: impl Write + Send + 'static) {
    let (queue, lines) = sync_channel(QUEUE);
    let sink = Sink {
        instance: instance.to_owned(),
        queue,
        waiting: &WAITING,
        dropped: &DROPPED,
    };
    if SINK.set(sink).is_ok() {
        std::thread::spawn(move || write(&lines, output));
    }
}

/// Waits until the lines so far are written, for a short time at most.
pub fn flush() {
    let end = std::time::Instant::now() + FLUSH;
    while WAITING.load(Ordering::Relaxed) > 0 && std::time::Instant::now() < end {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Lines dropped since the last line that said so.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes a line, or counts it as dropped. Never blocks.
pub fn put(event: Event, fields: Fields) {
    let Some(sink) = SINK.get() else {
        return;
    };
    let routine = event.is_routine();
    if routine && sink.waiting.load(Ordering::Relaxed) >= ROUTINE_MAX {
        sink.dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let lost = sink.dropped.swap(0, Ordering::Relaxed);
    if lost > 0 {
        let mut fields = Fields::default();
        fields.add("lines", lost);
        if !sink.send(Event::LinesDropped, fields) {
            sink.dropped.fetch_add(lost, Ordering::Relaxed);
        }
    }
    if !sink.send(event, fields) {
        sink.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

impl Sink {
    fn send(&self, event: Event, fields: Fields) -> bool {
        let text = render(&self.instance, event, fields);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        match self.queue.try_send(text) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                false
            }
        }
    }
}

fn render(instance: &str, event: Event, fields: Fields) -> String {
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

fn write(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        // An output that is closed leaves no place to say so.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Writes a structured line: `line!(Event::Routed, request = id, server = name)`. Fields serialize
/// to JSON.
#[macro_export]
macro_rules! line {
    ($event:expr $(, $name:ident = $value:expr)* $(,)?) => {{
        let mut fields = $crate::line::Fields::default();
        $(fields.add(stringify!($name), &$value);)*
        $crate::line::put($event, fields);
    }};
}
