//! Actor that maintains the policy table.

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

use super::PeerVersion;
use super::TableMessage;
use super::edit;
use crate::Context;
use crate::service::ServiceMessage;

/// Timeout for fetching rows from another instance.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Actor that maintains the policy table.
struct TableActor;

/// State of the policy table actor.
pub(super) struct State {
    pub(super) context: Arc<Context>,
    table: Table,
    polling: bool,
    fetching: bool,
    platform_down: bool,
}

/// Spawns the policy table actor.
///
/// # Errors
///
/// If the actor fails to start.
pub async fn spawn(context: Arc<Context>) -> Result<ActorRef<TableMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, TableActor, context).await?;
    Ok(actor)
}

impl Actor for TableActor {
    type Msg = TableMessage;
    type State = State;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<TableMessage>,
        context: Arc<Context>,
    ) -> Result<State, ActorProcessingErr> {
        let poll = context.settings.platform.poll_interval;
        myself.send_interval(poll, || TableMessage::Poll);
        myself.cast(TableMessage::Poll)?;
        Ok(State {
            context,
            table: Table::default(),
            polling: false,
            fetching: false,
            platform_down: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<TableMessage>,
        message: TableMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            TableMessage::Poll => state.poll(&myself),
            TableMessage::Polled(result) => state.polled(result),
            TableMessage::Fetched(delta) => state.fetched(delta),
            TableMessage::VersionSeen(seen) => state.version_seen(seen, &myself),
            TableMessage::Committed(rows) => state.apply_early(&rows),
            TableMessage::Edit(edit, reply) => {
                let table = state.table.clone();
                let context = state.context.clone();
                tokio::spawn(async move {
                    let outcome = edit::decide(&context, &myself, table, &edit).await;
                    let _ = reply.send(outcome);
                });
            }
            TableMessage::EditState(id, reply) => {
                let context = state.context.clone();
                tokio::spawn(async move {
                    let _ = reply.send(edit::outcome(&context, &id).await);
                });
            }
        }
        Ok(())
    }
}

impl State {
    fn poll(&mut self, myself: &ActorRef<TableMessage>) {
        if self.polling {
            return;
        }
        self.polling = true;
        let platform = self.context.platform.clone();
        let after = self.table.version();
        let myself = myself.clone();
        tokio::spawn(async move {
            let result = platform.policy_changes(after).await;
            let _ = myself.cast(TableMessage::Polled(result));
        });
    }

    fn polled(&mut self, result: Result<Delta, Error>) {
        self.polling = false;
        match result {
            Ok(delta) => {
                if self.platform_down {
                    emit!(Event::PlatformUp, "table={}", delta.upto);
                }
                self.platform_down = false;
                self.apply(&delta, "platform");
            }
            Err(err) => {
                if !self.platform_down {
                    emit!(Event::PlatformDown, "error={err}");
                }
                self.platform_down = true;
            }
        }
    }

    fn fetched(&mut self, delta: Option<Delta>) {
        self.fetching = false;
        if let Some(delta) = delta {
            self.apply(&delta, "peer");
        }
    }

    fn version_seen(&mut self, seen: PeerVersion, myself: &ActorRef<TableMessage>) {
        self.apply_early(&seen.newer_rows);
        let Some(from) = seen.from else {
            return;
        };
        if self.fetching || seen.version <= self.table.version() {
            return;
        }
        self.fetching = true;
        let peers = self.context.peers.clone();
        let after = self.table.version();
        let myself = myself.clone();
        tokio::spawn(async move {
            let delta = peers.rows(from, after, FETCH_TIMEOUT).await.ok();
            let _ = myself.cast(TableMessage::Fetched(delta));
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
        self.context.metrics.table_version.set(version as i64);
        self.context
            .table
            .send_replace(Arc::new(self.table.clone()));
        let services = self.context.services.read().expect("lock is not poisoned");
        for actor in services.values() {
            let _ = actor.cast(ServiceMessage::TableChanged);
        }
    }
}
