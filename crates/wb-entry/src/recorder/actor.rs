//! Messages of the recorder.

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

use super::RecordMessage;
use crate::Context;

/// Records in a batch at most.
const BATCH: usize = 1000;
/// Batches that wait for the object store at most.
const BATCHES: usize = 64;
/// Time between two batches.
const STORE: Duration = Duration::from_secs(2);

/// Keeps decision records.
struct Recorder;

/// State of the recorder.
struct State {
    context: Arc<Context>,
    log: RecordBuffer,
    storing: bool,
    told: u64,
}

/// Starts the recorder.
///
/// # Errors
///
/// Those of the actor library.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<RecordMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Recorder, context).await?;
    Ok(actor)
}

impl Actor for Recorder {
    type Msg = RecordMessage;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        me: ActorRef<RecordMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        me.send_interval(STORE, || RecordMessage::Store);
        let log = RecordBuffer::new(Options {
            instance: context.me().clone(),
            incarnation: context.incarnation,
            batch_size: BATCH,
            max_batches: BATCHES,
        });
        Ok(State {
            context,
            log,
            storing: false,
            told: 0,
        })
    }

    async fn handle(
        &self,
        me: ActorRef<RecordMessage>,
        message: RecordMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            RecordMessage::Add(record) => state.log.add(*record),
            RecordMessage::Store => {
                state.log.close_batch();
                state.store(&me);
            }
            RecordMessage::Stored(stored) => state.stored(stored, &me),
            RecordMessage::Recent(reply) => {
                let _ = reply.send(state.recent());
            }
            RecordMessage::Flush(reply) => {
                state.flush().await;
                let _ = reply.send(());
            }
        }
        Ok(())
    }
}

impl State {
    /// Stores the oldest batch, unless one is on its way.
    fn store(&mut self, me: &ActorRef<RecordMessage>) {
        self.tell_dropped();
        if self.storing {
            return;
        }
        let Some(closed) = self.log.oldest_closed().cloned() else {
            return;
        };
        self.storing = true;
        let platform = self.context.platform.clone();
        let me = me.clone();
        tokio::spawn(async move {
            let stored = platform.put_object(&closed.object_name, closed.text).await;
            let _ = me.cast(RecordMessage::Stored(stored.is_ok()));
        });
    }

    fn stored(&mut self, stored: bool, me: &ActorRef<RecordMessage>) {
        self.storing = false;
        if !stored {
            return;
        }
        if let Some(closed) = self.log.oldest_closed() {
            emit!(
                Event::RecordsStored,
                "object={} records={}",
                closed.object_name,
                closed.record_count
            );
        }
        self.log.remove_stored();
        self.store(me);
    }

    fn tell_dropped(&mut self) {
        let lost = self.log.total_dropped();
        self.context.metrics.dropped.set(lost as i64);
        if lost > self.told {
            emit!(Event::RecordsDropped, "records={}", lost - self.told);
            self.told = lost;
        }
    }

    /// Records that are not stored yet, oldest first.
    fn recent(&self) -> Vec<DecisionRecord> {
        let mut records = Vec::new();
        for text in self.log.closed_texts() {
            if let Ok(batch) = serde_json::from_str::<Batch>(text) {
                records.extend(batch.records);
            }
        }
        records.extend_from_slice(self.log.open_records());
        records
    }

    async fn flush(&mut self) {
        self.log.close_batch();
        while let Some(closed) = self.log.oldest_closed().cloned() {
            let stored = self
                .context
                .platform
                .put_object(&closed.object_name, closed.text)
                .await;
            if stored.is_err() {
                return;
            }
            self.log.remove_stored();
        }
    }
}
