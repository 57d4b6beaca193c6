//! The border towards the daemon.

use std::mem;
use std::time::Duration;

use wb_health::StateChange;
use wb_types::id::Moment;
use wb_types::id::TableVersion;
use wb_types::member::HomeLoad;
use wb_types::policy::Row;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;

use super::AVOID_LIFE;
use super::Dispatcher;
use super::RequestKey;
use crate::policy::Decision;
use crate::policy::LoadReport;
use crate::policy::Policy;
use crate::policy::ServerView;
use crate::policy::ServicePlacement;

impl Policy for Dispatcher {
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, floor: u32) {
        self.take_rows(rows, version, floor);
    }

    fn set_placement(&mut self, place: &ServicePlacement, now: Moment) {
        self.take_place(place, now);
        self.decide(now);
    }

    fn set_leaving(&mut self, server: &str, leaving: bool) {
        let found = self
            .usage
            .iter()
            .find(|(_, usage)| &*usage.server.name == server);
        if let Some((key, _)) = found {
            self.ward.set_leaving(key, leaving);
        }
    }

    fn record_home_load(&mut self, load: &HomeLoad, now: Moment) {
        self.take_load(load, now);
    }

    fn mark_unreachable(&mut self, home: &str, now: Moment) {
        let found = self.homes.iter_mut().find(|known| &*known.name == home);
        if let Some(found) = found {
            found.avoid = now + AVOID_LIFE;
        }
    }

    fn submit(&mut self, work: QueuedRequest, now: Moment) -> RequestKey {
        self.take(work, now)
    }

    fn finish(
        &mut self,
        key: RequestKey,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
        now: Moment,
    ) {
        self.end(key, ending, report, now);
    }

    fn try_spend_retry(&mut self) -> bool {
        self.retries.try_spend()
    }

    fn tick(&mut self, now: Moment) {
        self.pass_time(now);
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        mem::take(&mut self.decisions)
    }

    fn take_changes(&mut self) -> Vec<StateChange> {
        mem::take(&mut self.changes)
    }

    fn home_load(&mut self, now: Moment) -> HomeLoad {
        self.tell(now)
    }

    fn median_duration(&self) -> Option<Duration> {
        self.ward.median_duration()
    }

    fn server_views(&self) -> Vec<ServerView> {
        let views = self.usage.iter().map(|(key, usage)| ServerView {
            name: usage.server.name.clone(),
            state: self.ward.state(key).to_owned(),
            score: self.ward.score(key),
            leaving: self.ward.is_leaving(key),
            busy: usage.busy,
            slots: usage.server.slots,
        });
        views.collect()
    }
}
