//! A reader that stalls blocks nobody, and what is lost is counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

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
            .expect("no holder panics")
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
    let dropped = line::dropped();
    assert!(dropped > 0);
    open.send(()).expect("the writer waits");
    while line::dropped() > 0 {
        std::thread::yield_now();
        line!(Event::Stopped);
    }
    line::flush();
    let text = String::from_utf8(written.lock().expect("no holder panics").clone());
    let text = text.expect("lines are text");
    let count = |name: &str| text.matches(&format!("\"name\":\"{name}\"")).count() as u64;
    assert_eq!(count("failed"), 100, "failures are dropped last");
    assert!(count("lines_dropped") > 0);
    assert!(count("answered") + dropped >= 20_000);
}
