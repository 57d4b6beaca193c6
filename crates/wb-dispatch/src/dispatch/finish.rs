//! End of requests, and timeouts.

use std::time::Duration;

use wb_health::Evidence;
use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::RequestKey;
use super::Running;
use super::SERVER_LOAD_TTL;
use super::SHED_CAP_TTL;
use super::Stage;
use super::TrackedRequest;
use crate::policy::ServerLoad;

impl Dispatcher {
    pub(super) fn finish_request(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        server_load: Option<ServerLoad>,
        now: Moment,
    ) {
        let Some(tracked) = self.requests.remove(key) else {
            return;
        };
        if tracked.counted
            && let Some(state) = self.rows.get_mut(&tracked.request.row.class)
        {
            state.running = state.running.saturating_sub(1);
        }
        match &tracked.stage {
            Stage::Queued => {
                self.queues
                    .remove(&tracked.request.row.class, tracked.request.duration, key);
            }
            Stage::Running(running) => {
                self.release_slot(&tracked, *running, outcome, server_load, now)
            }
            Stage::Forwarded | Stage::Refused => {}
        }
        self.assign_slots(now);
    }

    fn release_slot(
        &mut self,
        tracked: &TrackedRequest,
        running: Running,
        outcome: AttemptOutcome,
        server_load: Option<ServerLoad>,
        now: Moment,
    ) {
        if let Some(owned) = self.servers.get_mut(running.server) {
            if let Some(server_load) = server_load {
                owned.external = server_load.busy.saturating_sub(owned.busy);
                owned.external_until = now + SERVER_LOAD_TTL;
            }
            owned.busy = owned.busy.saturating_sub(1);
            if tracked.request.duration == ExpectedDuration::Long {
                owned.long = owned.long.saturating_sub(1);
            }
            if outcome == AttemptOutcome::Shed {
                owned.cap = owned.busy.max(1);
                owned.cap_until = now + SHED_CAP_TTL;
            }
        }
        let evidence = match (outcome, tracked.request.duration) {
            (AttemptOutcome::Success(took), ExpectedDuration::Short) => Evidence::Short(took),
            (AttemptOutcome::Success(_), ExpectedDuration::Long) => Evidence::Long,
            (AttemptOutcome::Failure, _) => Evidence::Failed,
            (AttemptOutcome::Shed | AttemptOutcome::Inconclusive, _) => return,
        };
        if running.overdue {
            return;
        }
        let change = self.health.record(running.server, evidence, now);
        self.changes.extend(change);
    }

    pub(super) fn advance(&mut self, now: Moment) {
        self.expire_queued(now);
        self.record_overdue(now);
        let changes = self.health.tick(now);
        self.changes.extend(changes);
        self.update_shares(now);
        self.assign_slots(now);
    }

    fn expire_queued(&mut self, now: Moment) {
        for entry in self.queues.expire(now) {
            let late = entry.deadline <= now;
            let reason = if late {
                Reason::Deadline
            } else {
                Reason::QueueWait
            };
            self.refuse(entry.key, reason, now);
        }
    }

    /// Records short requests that run for too long as evidence against their server, once each.
    fn record_overdue(&mut self, now: Moment) {
        let limit: Duration = self.health.overdue_after();
        for tracked in self.requests.values_mut() {
            let Stage::Running(running) = &mut tracked.stage else {
                continue;
            };
            let short = tracked.request.duration == ExpectedDuration::Short;
            let late = now.saturating_sub(running.started) > limit;
            if running.overdue || !short || !late {
                continue;
            }
            running.overdue = true;
            let change = self.health.record(running.server, Evidence::Overdue, now);
            self.changes.extend(change);
        }
    }
}
