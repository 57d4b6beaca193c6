//! Implementation of the policy interface.

use std::mem;
use std::time::Duration;

use wb_health::StateChange;
use wb_types::id::Moment;
use wb_types::id::TableVersion;
use wb_types::member::HomeLoad;
use wb_types::policy::Row;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;

use super::Dispatcher;
use super::RequestKey;
use super::UNREACHABLE_COOLDOWN;
use crate::policy::Decision;
use crate::policy::DispatchPolicy;
use crate::policy::LocalPlacement;
use crate::policy::ServerLoad;
use crate::policy::ServerView;

impl DispatchPolicy for Dispatcher {
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32) {
        self.apply_rows(rows, version, floor);
    }

    fn set_placement(&mut self, placement: &LocalPlacement, now: Moment) {
        self.apply_placement(placement, now);
        self.assign_slots(now);
    }

    fn set_leaving(&mut self, server: &str, leaving: bool) {
        let found = self
            .servers
            .iter()
            .find(|(_, owned)| &*owned.server.name == server);
        if let Some((key, _)) = found {
            self.health.set_leaving(key, leaving);
        }
    }

    fn record_home_load(&mut self, load: &HomeLoad, now: Moment) {
        self.apply_load(load, now);
    }

    fn mark_unreachable(&mut self, home: &str, now: Moment) {
        let found = self.homes.iter_mut().find(|known| &*known.name == home);
        if let Some(found) = found {
            found.avoid_until = now + UNREACHABLE_COOLDOWN;
        }
    }

    fn submit(&mut self, request: QueuedRequest, now: Moment) -> RequestKey {
        self.submit_request(request, now)
    }

    fn finish(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        server_load: Option<ServerLoad>,
        now: Moment,
    ) {
        self.finish_request(key, outcome, server_load, now);
    }

    fn try_spend_retry(&mut self) -> bool {
        self.retry_budget.try_spend()
    }

    fn tick(&mut self, now: Moment) {
        self.advance(now);
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        mem::take(&mut self.decisions)
    }

    fn take_changes(&mut self) -> Vec<StateChange> {
        mem::take(&mut self.changes)
    }

    fn home_load(&mut self, now: Moment) -> HomeLoad {
        self.report_load(now)
    }

    fn median_duration(&self) -> Option<Duration> {
        self.health.median_duration()
    }

    fn server_views(&self) -> Vec<ServerView> {
        let views = self.servers.iter().map(|(key, owned)| ServerView {
            name: owned.server.name.clone(),
            state: self.health.state(key).to_owned(),
            score: self.health.score(key),
            leaving: self.health.is_leaving(key),
            busy: owned.busy,
            slots: owned.server.slots,
        });
        views.collect()
    }
}
