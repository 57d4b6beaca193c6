//! Record of a run: what was sent, answered and run, and when.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Record of a run, in a file.
pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// If it can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Time since the begin of the run.
    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let at = self.now().as_millis();
        if let Ok(mut file) = self.file.lock() {
            // The verdict of a run doesn't depend on its record.
            let _ = writeln!(file, "{at:>7} ms  {text}");
        }
    }
}
