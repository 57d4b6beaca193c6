//! Guards against requests that are delayed by a slow reader of the log, and against lines that are
//! dropped without being counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use serde_json::Value;
use wb_event::Event;
use wb_event::line;

/// An output that blocks until the test unblocks it.
struct StalledOutput {
    unblock: mpsc::Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.unblock.recv().expect("the test unblocks the output");
            self.open = true;
        }
        self.written
            .lock()
            .expect("lock is not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_blocks_no_caller_and_dropped_lines_are_counted() {
    let (sender, unblock) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        unblock,
        open: false,
        written: written.clone(),
    };
    line::start_to("test", output);
    for number in 0..20_000 {
        line!(Event::Answered, request = number);
    }
    for number in 0..100 {
        line!(Event::Failed, request = number);
    }
    sender.send(()).expect("the writer is blocked");
    while line::dropped() > 0 {
        std::thread::yield_now();
        line!(Event::Stopped);
    }
    line::flush();
    let bytes = written.lock().expect("lock is not poisoned").clone();
    let text = String::from_utf8(bytes).expect("lines are text");
    let lines = text.lines().map(serde_json::from_str::<Value>);
    let lines: Vec<Value> = lines.map(|line| line.expect("each is JSON")).collect();
    let count = |name: &str| lines.iter().filter(|line| line["name"] == name).count() as u64;
    assert_eq!(count("failed"), 100, "failures are dropped last");
    let reported = lines.iter().filter_map(|line| line["lines"].as_u64());
    let dropped: u64 = reported.sum();
    assert!(dropped > 0);
    assert_eq!(
        count("answered") + dropped,
        20_000,
        "each line is written or counted as dropped"
    );
}
