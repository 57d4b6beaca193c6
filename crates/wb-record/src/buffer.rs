//! Bounded buffer of the records that are not stored yet.

use std::collections::VecDeque;
use std::mem;

use wb_types::id::Incarnation;
use wb_types::id::InstanceName;

use crate::Batch;
use crate::DecisionRecord;

/// Settings of a [`RecordBuffer`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Number of records after which a batch is closed.
    pub batch_size: usize,
    /// Number of waiting closed batches at which further records are dropped.
    pub max_batches: usize,
}

/// A closed batch that waits to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedBatch {
    /// Name of the object.
    pub object_name: String,
    /// Content of the object, in JSON.
    pub text: String,
    /// Number of records in the batch.
    pub record_count: u64,
}

/// Records of this process that are not stored yet, as closed batches and an open one.
#[derive(Debug)]
pub struct RecordBuffer {
    options: Options,
    open: Vec<DecisionRecord>,
    closed: VecDeque<ClosedBatch>,
    next_number: u64,
    last_digest: String,
    /// Records dropped since the last closed batch.
    dropped: u64,
    total_dropped: u64,
}

impl RecordBuffer {
    /// Creates an empty buffer.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            open: Vec::new(),
            closed: VecDeque::new(),
            next_number: 0,
            last_digest: String::new(),
            dropped: 0,
            total_dropped: 0,
        }
    }

    /// Adds a record, and closes the batch once it is full. While the buffer is full, for example
    /// because the object store is down, records are dropped instead and counted; the next batch
    /// holds the count.
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

    /// Closes the open batch, unless it has no record and no dropped records to report.
    pub fn close_batch(&mut self) {
        if self.open.is_empty() && self.dropped == 0 {
            return;
        }
        let batch = Batch {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            number: self.next_number,
            before: mem::take(&mut self.last_digest),
            dropped: mem::take(&mut self.dropped),
            records: mem::take(&mut self.open),
        };
        let text = batch.to_json();
        self.last_digest = Batch::digest(&text);
        self.next_number += 1;
        self.closed.push_back(ClosedBatch {
            object_name: batch.object_name(),
            text,
            record_count: batch.records.len() as u64,
        });
    }

    /// Oldest closed batch.
    pub fn oldest_closed(&self) -> Option<&ClosedBatch> {
        self.closed.front()
    }

    /// Removes the oldest closed batch, once it is stored.
    pub fn remove_stored(&mut self) {
        self.closed.pop_front();
    }

    /// Number of records dropped since the start of the process.
    pub fn total_dropped(&self) -> u64 {
        self.total_dropped
    }

    /// Records of the open batch.
    pub fn open_records(&self) -> &[DecisionRecord] {
        &self.open
    }

    /// JSON texts of the closed batches, oldest first.
    pub fn closed_texts(&self) -> impl Iterator<Item = &str> {
        self.closed.iter().map(|closed| closed.text.as_str())
    }
}
