//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// Daemon to which it was sent, or what else tells it from others.
    pub to: String,
    /// When it was sent.
    pub at: Instant,
    /// When its answer was complete, or the client gave up.
    pub end: Instant,
    /// Status of the answer; `None` if there was none.
    pub status: Option<u16>,
    /// What the client saw instead of an answer, or how the answer differs.
    pub note: &'static str,
}

/// Lines of a record, each with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    sent: Arc<Mutex<Vec<Sent>>>,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            sent: Arc::default(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Time of a moment since the start.
    pub fn age(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Adds a line.
    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line about a moment.
    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        let mut lines = self.lines.lock().expect("lock is not poisoned");
        lines.push((at, text.into()));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{text}");
        self.note(text);
    }

    /// Adds a request.
    pub fn sent(&self, sent: Sent) {
        let mut all = self.sent.lock().expect("lock is not poisoned");
        all.push(sent);
    }

    /// All requests.
    pub fn all_sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("lock is not poisoned").clone()
    }

    /// Writes the record to the file that `RECORD` names.
    pub fn write(&self) -> eyre::Result<()> {
        let path = std::env::var_os("RECORD").map_or_else(|| "record.txt".into(), PathBuf::from);
        let mut lines = self.lines.lock().expect("lock is not poisoned").clone();
        for sent in self.all_sent() {
            let Sent {
                id, to, at, note, ..
            } = &sent;
            lines.push((*at, format!("request {id} sent to {to}")));
            let text = match sent.status {
                Some(status) => format!("request {id} answered {status} {note}"),
                None => format!("request {id} not answered: {note}"),
            };
            lines.push((sent.end, text));
        }
        lines.sort();
        let mut file = BufWriter::new(File::create(path)?);
        for (at, text) in lines {
            let at = self.age(at);
            writeln!(file, "{:9.3} s  {}", at.as_secs_f64(), text.trim_end())?;
        }
        Ok(file.flush()?)
    }
}
