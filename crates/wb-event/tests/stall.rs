//! A reader that stalls blocks nobody, and what is lost is counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use serde_json::Value;
use wb_event::Event;
use wb_event::line;

/// An output that takes nothing until it is told to.
struct Stalled {
    gate: mpsc::Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.gate.recv().expect("the test opens the gate");
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
fn a_stalled_reader_blocks_nobody_and_losses_are_told() {
    let (open, gate) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stalled {
        gate,
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
    open.send(()).expect("the writer waits");
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
    let told = lines.iter().filter_map(|line| line["lines"].as_u64());
    let dropped: u64 = told.sum();
    assert!(dropped > 0);
    assert_eq!(
        count("answered") + dropped,
        20_000,
        "each line is written or told as lost"
    );
}
