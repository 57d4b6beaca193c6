//! Collects records within a bound and closes batches.

use std::collections::VecDeque;
use std::mem;

use wb_types::id::Incarnation;
use wb_types::id::InstanceName;

use crate::Batch;
use crate::DecisionRecord;

/// Settings of a [`Log`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Instance that decides.
    pub instance: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Records in a batch at most.
    pub batch_size: usize,
    /// Closed batches that wait for the object store at most.
    pub max_batches: usize,
}

/// A closed batch that is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedBatch {
    /// Name of the object.
    pub object_name: String,
    /// Text of the object.
    pub text: String,
    /// Records in it.
    pub record_count: u64,
}

/// Records that are not stored yet.
#[derive(Debug)]
pub struct RecordBuffer {
    options: Options,
    open: Vec<DecisionRecord>,
    closed: VecDeque<ClosedBatch>,
    number: u64,
    before: String,
    dropped: u64,
    total_dropped: u64,
}

impl RecordBuffer {
    /// An empty log.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            open: Vec::new(),
            closed: VecDeque::new(),
            number: 0,
            before: String::new(),
            dropped: 0,
            total_dropped: 0,
        }
    }

    /// Adds a record. While the object store is down and the buffer full, records are counted
    /// as dropped instead; the next batch says how many.
    pub fn add(&mut self, record: DecisionRecord) {
        if self.closed.len() >= self.options.max_batches {
            self.dropped += 1;
            self.total_dropped += 1;
            return;
        }
        self.open.push(record);
        if self.open.len() >= self.options.batch_size {
            self.close_batch();
        }
    }

    /// Closes the open batch, if it holds anything.
    pub fn close_batch(&mut self) {
        if self.open.is_empty() && self.dropped == 0 {
            return;
        }
        let batch = Batch {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            number: self.number,
            before: mem::take(&mut self.before),
            dropped: mem::take(&mut self.dropped),
            records: mem::take(&mut self.open),
        };
        let text = batch.to_json();
        self.before = Batch::digest(&text);
        self.number += 1;
        self.closed.push_back(ClosedBatch {
            object_name: batch.object_name(),
            text,
            record_count: batch.records.len() as u64,
        });
    }

    /// The oldest batch that is not stored.
    pub fn oldest_closed(&self) -> Option<&ClosedBatch> {
        self.closed.front()
    }

    /// Notes that the oldest batch is stored.
    pub fn remove_stored(&mut self) {
        self.closed.pop_front();
    }

    /// Records dropped since the start.
    pub fn total_dropped(&self) -> u64 {
        self.total_dropped
    }

    /// Records that are not in a closed batch yet.
    pub fn open_records(&self) -> &[DecisionRecord] {
        &self.open
    }

    /// Texts of closed batches that are not stored yet.
    pub fn closed_texts(&self) -> impl Iterator<Item = &str> {
        self.closed.iter().map(|closed| closed.text.as_str())
    }
}
