//! Ending requests, and the passing of time.

use std::time::Duration;

use wb_health::Sample;
use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::Job;
use super::REPORT_LIFE;
use super::RequestKey;
use super::Running;
use super::SHED_LIFE;
use super::Stage;
use crate::policy::LoadReport;

impl Dispatcher {
    pub(super) fn end(
        &mut self,
        key: RequestKey,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if job.counted
            && let Some(state) = self.rows.get_mut(&job.work.row.class)
        {
            state.running = state.running.saturating_sub(1);
        }
        match &job.stage {
            Stage::Waiting => {
                self.queues
                    .remove(&job.work.row.class, job.work.duration, key);
            }
            Stage::Running(running) => self.vacate(&job, *running, ending, report, now),
            Stage::Passed | Stage::Refused => {}
        }
        self.decide(now);
    }

    fn vacate(
        &mut self,
        job: &Job,
        running: Running,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
        now: Moment,
    ) {
        if let Some(usage) = self.usage.get_mut(running.server) {
            if let Some(report) = report {
                usage.foreign = report.busy.saturating_sub(usage.busy);
                usage.foreign_until = now + REPORT_LIFE;
            }
            usage.busy = usage.busy.saturating_sub(1);
            if job.work.duration == ExpectedDuration::Long {
                usage.long = usage.long.saturating_sub(1);
            }
            if ending == AttemptOutcome::Shed {
                usage.cap = usage.busy.max(1);
                usage.cap_until = now + SHED_LIFE;
            }
        }
        let sample = match (ending, job.work.duration) {
            (AttemptOutcome::Success(took), ExpectedDuration::Short) => Sample::Short(took),
            (AttemptOutcome::Success(_), ExpectedDuration::Long) => Sample::Long,
            (AttemptOutcome::Failure, _) => Sample::Bad,
            (AttemptOutcome::Shed | AttemptOutcome::Inconclusive, _) => return,
        };
        if running.overdue {
            return;
        }
        let change = self.ward.record(running.server, sample, now);
        self.changes.extend(change);
    }

    pub(super) fn pass_time(&mut self, now: Moment) {
        self.expire(now);
        self.note_overdue(now);
        let changes = self.ward.tick(now);
        self.changes.extend(changes);
        self.share_limits(now);
        self.decide(now);
    }

    fn expire(&mut self, now: Moment) {
        for waiting in self.queues.expire(now) {
            let late = waiting.deadline <= now;
            let reason = if late {
                Reason::Deadline
            } else {
                Reason::QueueWait
            };
            self.refuse(waiting.key, reason, now);
        }
    }

    /// Counts short work in flight that takes too long as evidence, once.
    fn note_overdue(&mut self, now: Moment) {
        let limit: Duration = self.ward.overdue_after();
        for job in self.jobs.values_mut() {
            let Stage::Running(running) = &mut job.stage else {
                continue;
            };
            let short = job.work.duration == ExpectedDuration::Short;
            let late = now.saturating_sub(running.since) > limit;
            if running.overdue || !short || !late {
                continue;
            }
            running.overdue = true;
            let change = self.ward.record(running.server, Sample::Overdue, now);
            self.changes.extend(change);
        }
    }
}
