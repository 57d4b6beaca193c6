//! Actor that buffers decision records and writes them to the object store.

use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use wb_event::Event;
use wb_event::emit;
use wb_record::Batch;
use wb_record::DecisionRecord;
use wb_record::RecordBuffer;
use wb_record::buffer::Options;

use super::RecorderMessage;
use crate::Context;

/// Maximum number of records in a batch.
const BATCH_RECORDS: usize = 1000;
/// Number of batches waiting for the object store at which further records are dropped.
const WAITING_BATCHES: usize = 64;
/// Interval at which a batch is closed and stored.
const STORE_INTERVAL: Duration = Duration::from_secs(2);

/// Actor that buffers and stores decision records.
struct Recorder;

/// State of the recorder.
struct State {
    context: Arc<Context>,
    buffer: RecordBuffer,
    storing: bool,
    reported: u64,
}

/// Spawns the recorder.
///
/// # Errors
///
/// If the actor fails to start.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<RecorderMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Recorder, context).await?;
    Ok(actor)
}

impl Actor for Recorder {
    type Msg = RecorderMessage;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<RecorderMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(STORE_INTERVAL, || RecorderMessage::Store);
        let buffer = RecordBuffer::new(Options {
            instance: context.instance_name().clone(),
            incarnation: context.incarnation,
            batch_size: BATCH_RECORDS,
            max_batches: WAITING_BATCHES,
        });
        Ok(State {
            context,
            buffer,
            storing: false,
            reported: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<RecorderMessage>,
        message: RecorderMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            RecorderMessage::Add(record) => state.buffer.add(*record),
            RecorderMessage::Store => {
                state.buffer.close_batch();
                state.store(&myself);
            }
            RecorderMessage::Stored(stored) => state.stored(stored, &myself),
            RecorderMessage::Unstored(reply) => {
                let _ = reply.send(state.unstored());
            }
            RecorderMessage::Flush(reply) => {
                state.flush().await;
                let _ = reply.send(());
            }
        }
        Ok(())
    }
}

impl State {
    /// Starts to store the oldest batch, unless a batch is being stored.
    fn store(&mut self, myself: &ActorRef<RecorderMessage>) {
        self.report_dropped();
        if self.storing {
            return;
        }
        let Some(closed) = self.buffer.oldest_closed().cloned() else {
            return;
        };
        self.storing = true;
        let platform = self.context.platform.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let stored = platform.put_object(&closed.object_name, closed.text).await;
            let _ = myself.cast(RecorderMessage::Stored(stored.is_ok()));
        });
    }

    fn stored(&mut self, stored: bool, myself: &ActorRef<RecorderMessage>) {
        self.storing = false;
        if !stored {
            return;
        }
        if let Some(closed) = self.buffer.oldest_closed() {
            emit!(
                Event::RecordsStored,
                "object={} records={}",
                closed.object_name,
                closed.record_count
            );
        }
        self.buffer.remove_stored();
        self.store(myself);
    }

    fn report_dropped(&mut self) {
        let dropped = self.buffer.total_dropped();
        self.context.metrics.records_dropped.set(dropped as i64);
        if dropped > self.reported {
            emit!(Event::RecordsDropped, "records={}", dropped - self.reported);
            self.reported = dropped;
        }
    }

    /// Returns the records that are not stored yet, oldest first.
    fn unstored(&self) -> Vec<DecisionRecord> {
        let mut records = Vec::new();
        for text in self.buffer.closed_texts() {
            if let Ok(batch) = serde_json::from_str::<Batch>(text) {
                records.extend(batch.records);
            }
        }
        records.extend_from_slice(self.buffer.open_records());
        records
    }

    async fn flush(&mut self) {
        self.buffer.close_batch();
        while let Some(closed) = self.buffer.oldest_closed().cloned() {
            let stored = self
                .context
                .platform
                .put_object(&closed.object_name, closed.text)
                .await;
            if stored.is_err() {
                return;
            }
            self.buffer.remove_stored();
        }
    }
}
