//! Collects records within a bound and closes batches.

use std::collections::VecDeque;
use std::mem;

use wb_types::id::Incarnation;
use wb_types::id::InstanceName;

use crate::Batch;
use crate::Record;

/// Settings of a [`Log`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Instance that decides.
    pub me: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Records in a batch at most.
    pub batch: usize,
    /// Closed batches that wait for the object store at most.
    pub batches: usize,
}

/// A closed batch that is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Closed {
    /// Name of the object.
    pub path: String,
    /// Text of the object.
    pub text: String,
    /// Records in it.
    pub records: u64,
}

/// Records that are not stored yet.
#[derive(Debug)]
pub struct Log {
    options: Options,
    open: Vec<Record>,
    closed: VecDeque<Closed>,
    number: u64,
    before: String,
    dropped: u64,
    lost: u64,
}

impl Log {
    /// An empty log.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            open: Vec::new(),
            closed: VecDeque::new(),
            number: 0,
            before: String::new(),
            dropped: 0,
            lost: 0,
        }
    }

    /// Adds a record. While the object store is down and the buffer full, records are counted
    /// as dropped instead; the next batch says how many.
    pub fn add(&mut self, record: Record) {
        if self.closed.len() >= self.options.batches {
            self.dropped += 1;
            self.lost += 1;
            return;
        }
        self.open.push(record);
        if self.open.len() >= self.options.batch {
            self.close();
        }
    }

    /// Closes the open batch, if it holds anything.
    pub fn close(&mut self) {
        if self.open.is_empty() && self.dropped == 0 {
            return;
        }
        let batch = Batch {
            instance: self.options.me.clone(),
            incarnation: self.options.incarnation,
            number: self.number,
            before: mem::take(&mut self.before),
            dropped: mem::take(&mut self.dropped),
            records: mem::take(&mut self.open),
        };
        let text = batch.text();
        self.before = Batch::digest(&text);
        self.number += 1;
        self.closed.push_back(Closed {
            path: batch.path(),
            text,
            records: batch.records.len() as u64,
        });
    }

    /// The oldest batch that is not stored.
    pub fn next(&self) -> Option<&Closed> {
        self.closed.front()
    }

    /// Notes that the oldest batch is stored.
    pub fn stored(&mut self) {
        self.closed.pop_front();
    }

    /// Records dropped since the start.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Records that are not in a closed batch yet.
    pub fn open(&self) -> &[Record] {
        &self.open
    }

    /// Texts of closed batches that are not stored yet.
    pub fn waiting(&self) -> impl Iterator<Item = &str> {
        self.closed.iter().map(|closed| closed.text.as_str())
    }
}
