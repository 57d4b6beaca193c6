//! Giving free slots to waiting work.

use wb_health::ServerKey;
use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::RequestKey;
use super::Running;
use super::Stage;
use crate::choice;
use crate::policy::Assignment;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::Mirror;
use crate::policy::Verdict;
use crate::queue::Dequeued;

impl Dispatcher {
    /// Gives all free slots away, then passes work to homes with free ones.
    pub(super) fn decide(&mut self, now: Moment) {
        while let Some(length) = self.next_length(now) {
            let Some(next) = self.queues.pop(length, now) else {
                break;
            };
            self.run(next, length, now);
        }
        self.pass_waiting(ExpectedDuration::Short, now);
        self.pass_waiting(ExpectedDuration::Long, now);
    }

    /// Length of the work that is next: of those with room, the one with the lowest tag.
    fn next_length(&self, now: Moment) -> Option<ExpectedDuration> {
        let open = |length| {
            let tag = self.queues.lowest_tag(length)?;
            self.has_room(length, now).then_some(tag)
        };
        match (open(ExpectedDuration::Short), open(ExpectedDuration::Long)) {
            (None, None) => None,
            (Some(_), None) => Some(ExpectedDuration::Short),
            (None, Some(_)) => Some(ExpectedDuration::Long),
            (Some(short), Some(long)) if long < short => Some(ExpectedDuration::Long),
            _ => Some(ExpectedDuration::Short),
        }
    }

    fn run(&mut self, next: Dequeued, length: ExpectedDuration, now: Moment) {
        let key = next.entry.key;
        if next.entry.deadline <= now {
            self.refuse(key, Reason::Deadline, now);
            return;
        }
        let open = self.open(length, now);
        let scores = open.iter().map(|open| open.score);
        let Some(index) = choice::highest_score(scores, &mut self.rng) else {
            self.refuse(key, Reason::NoCapacity, now);
            return;
        };
        let server = open[index].key;
        let candidates = self.candidates(&open, index);
        self.occupy(key, server, now);
        let trace = DecisionTrace {
            tag: next.tag,
            candidates,
            ..self.trace(key, now)
        };
        let mirror = self.mirror_of(key, now);
        let usage = &self.usage[server];
        let grant = Assignment {
            server: usage.server.name.clone(),
            address: usage.server.address,
            max_connections: usage.server.connections,
            mirror,
        };
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Run(grant),
            trace,
        });
    }

    /// Leave to copy a request to a server that needs evidence.
    fn mirror_of(&mut self, key: RequestKey, now: Moment) -> Option<Mirror> {
        let job = &self.jobs[key];
        if !job.work.idempotent || job.work.duration != ExpectedDuration::Short {
            return None;
        }
        let server = self.mirror_target(now)?;
        if !self.copies.try_spend() {
            return None;
        }
        let mut job = job.clone();
        job.counted = false;
        let copy = self.jobs.insert(job);
        self.occupy(copy, server, now);
        let usage = &self.usage[server];
        Some(Mirror {
            key: copy,
            server: usage.server.name.clone(),
            address: usage.server.address,
            max_connections: usage.server.connections,
        })
    }

    fn occupy(&mut self, key: RequestKey, server: ServerKey, now: Moment) {
        let job = &mut self.jobs[key];
        job.stage = Stage::Running(Running {
            server,
            since: now,
            overdue: false,
        });
        let usage = &mut self.usage[server];
        usage.busy += 1;
        if job.work.duration == ExpectedDuration::Long {
            usage.long += 1;
        }
    }

    fn pass_waiting(&mut self, length: ExpectedDuration, now: Moment) {
        while self.queues.queued(length) > 0 {
            if !self.homes.iter().any(|home| home.is_open(now)) {
                return;
            }
            let Some(next) = self.queues.pop(length, now) else {
                return;
            };
            let key = next.entry.key;
            if !self.may_pass(key) {
                let caller = self.jobs[key].work.caller.clone();
                self.queues.requeue(length, caller, next);
                return;
            }
            if let Some((home, trace)) = self.free_home(now) {
                let trace = DecisionTrace {
                    tag: next.tag,
                    ..trace
                };
                self.pass(key, home, trace, now);
            }
        }
    }
}
