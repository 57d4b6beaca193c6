//! Messages of the table's actor.

use std::sync::Arc;
use std::time::Duration;

use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use wb_event::Event;
use wb_event::emit;
use wb_platform::Error;
use wb_table::Table;
use wb_table::table::ApplyOutcome;
use wb_types::policy::Delta;
use wb_types::policy::VersionedRow;

use super::Heard;
use super::RulesMessage;
use super::edit;
use crate::Context;
use crate::service::ServiceMessage;

/// Longest wait for rows of another instance.
const FETCH: Duration = Duration::from_secs(2);

/// Keeps the policy table.
struct Rules;

/// State of the table's actor.
pub(super) struct State {
    pub(super) context: Arc<Context>,
    table: Table,
    polling: bool,
    fetching: bool,
    down: bool,
}

/// Starts the table's actor.
///
/// # Errors
///
/// Those of the actor library.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<RulesMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Rules, context).await?;
    Ok(actor)
}

impl Actor for Rules {
    type Msg = RulesMessage;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        me: ActorRef<RulesMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        let poll = context.settings.platform.poll_interval;
        me.send_interval(poll, || RulesMessage::Poll);
        me.cast(RulesMessage::Poll)?;
        Ok(State {
            context,
            table: Table::default(),
            polling: false,
            fetching: false,
            down: false,
        })
    }

    async fn handle(
        &self,
        me: ActorRef<RulesMessage>,
        message: RulesMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            RulesMessage::Poll => state.poll(&me),
            RulesMessage::Polled(result) => state.polled(result),
            RulesMessage::Received(delta) => state.received(delta),
            RulesMessage::Heard(heard) => state.heard(heard, &me),
            RulesMessage::Committed(rows) => state.apply_early(&rows),
            RulesMessage::Edit(edit, reply) => {
                let table = state.table.clone();
                let context = state.context.clone();
                tokio::spawn(async move {
                    let outcome = edit::run(&context, &me, table, &edit).await;
                    let _ = reply.send(outcome);
                });
            }
            RulesMessage::EditState(id, reply) => {
                let context = state.context.clone();
                tokio::spawn(async move {
                    let _ = reply.send(edit::state(&context, &id).await);
                });
            }
        }
        Ok(())
    }
}

impl State {
    fn poll(&mut self, me: &ActorRef<RulesMessage>) {
        if self.polling {
            return;
        }
        self.polling = true;
        let platform = self.context.platform.clone();
        let after = self.table.version();
        let me = me.clone();
        tokio::spawn(async move {
            let result = platform.policy_changes(after).await;
            let _ = me.cast(RulesMessage::Polled(result));
        });
    }

    fn polled(&mut self, result: Result<Delta, Error>) {
        self.polling = false;
        match result {
            Ok(delta) => {
                if self.down {
                    emit!(Event::PlatformUp, "table={}", delta.upto);
                }
                self.down = false;
                self.apply(&delta, "platform");
            }
            Err(err) => {
                if !self.down {
                    emit!(Event::PlatformDown, "error={err}");
                }
                self.down = true;
            }
        }
    }

    fn received(&mut self, delta: Option<Delta>) {
        self.fetching = false;
        if let Some(delta) = delta {
            self.apply(&delta, "peer");
        }
    }

    fn heard(&mut self, heard: Heard, me: &ActorRef<RulesMessage>) {
        self.apply_early(&heard.extra);
        let Some(from) = heard.from else {
            return;
        };
        if self.fetching || heard.version <= self.table.version() {
            return;
        }
        self.fetching = true;
        let peers = self.context.peers.clone();
        let after = self.table.version();
        let me = me.clone();
        tokio::spawn(async move {
            let delta = peers.rows(from, after, FETCH).await.ok();
            let _ = me.cast(RulesMessage::Received(delta));
        });
    }

    fn apply(&mut self, delta: &Delta, source: &str) {
        if self.table.apply(delta) == ApplyOutcome::Updated {
            self.publish(source);
        }
    }

    fn apply_early(&mut self, rows: &[VersionedRow]) {
        if self.table.apply_early(rows) {
            self.publish("edit");
        }
    }

    fn publish(&self, source: &str) {
        let version = self.table.version();
        emit!(
            Event::TableApplied,
            "table={version} rows={} callers={} source={source}",
            self.table.rows().count(),
            self.table.caller_count()
        );
        self.context.metrics.table.set(version as i64);
        self.context
            .table
            .send_replace(Arc::new(self.table.clone()));
        let services = self.context.services.read().expect("no holder panics");
        for actor in services.values() {
            let _ = actor.cast(ServiceMessage::Table);
        }
    }
}
