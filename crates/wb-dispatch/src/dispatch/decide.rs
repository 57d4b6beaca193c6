//! Giving free slots to waiting work.

use wb_health::ServerKey;
use wb_types::id::Moment;
use wb_types::outcome::Reason;
use wb_types::request::ExpectedDuration;

use super::Dispatch;
use super::Running;
use super::Stage;
use super::WorkKey;
use crate::choice;
use crate::policy::Account;
use crate::policy::Copy;
use crate::policy::Decision;
use crate::policy::Grant;
use crate::policy::Verdict;
use crate::queue::Next;

impl Dispatch {
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
            let tag = self.queues.tag(length)?;
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

    fn run(&mut self, next: Next, length: ExpectedDuration, now: Moment) {
        let key = next.waiting.key;
        if next.waiting.deadline <= now {
            self.refuse(key, Reason::Deadline, now);
            return;
        }
        let open = self.open(length, now);
        let scores = open.iter().map(|open| open.score);
        let Some(index) = choice::best(scores, &mut self.rng) else {
            self.refuse(key, Reason::NoCapacity, now);
            return;
        };
        let server = open[index].key;
        let candidates = self.candidates(&open, index);
        self.occupy(key, server, now);
        let account = Account {
            tag: next.tag,
            candidates,
            ..self.account(key, now)
        };
        let copy = self.copy_of(key, now);
        let usage = &self.usage[server];
        let grant = Grant {
            server: usage.server.name.clone(),
            address: usage.server.address,
            connections: usage.server.connections,
            copy,
        };
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Run(grant),
            account,
        });
    }

    /// Leave to copy a request to a server that needs evidence.
    fn copy_of(&mut self, key: WorkKey, now: Moment) -> Option<Copy> {
        let job = &self.jobs[key];
        if !job.work.idempotent || job.work.duration != ExpectedDuration::Short {
            return None;
        }
        let server = self.copy_target(now)?;
        if !self.copies.spend() {
            return None;
        }
        let mut job = job.clone();
        job.counted = false;
        let copy = self.jobs.insert(job);
        self.occupy(copy, server, now);
        let usage = &self.usage[server];
        Some(Copy {
            key: copy,
            server: usage.server.name.clone(),
            address: usage.server.address,
            connections: usage.server.connections,
        })
    }

    fn occupy(&mut self, key: WorkKey, server: ServerKey, now: Moment) {
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
        while self.queues.waiting(length) > 0 {
            if !self.homes.iter().any(|home| home.is_open(now)) {
                return;
            }
            let Some(next) = self.queues.pop(length, now) else {
                return;
            };
            let key = next.waiting.key;
            if !self.may_pass(key) {
                let caller = self.jobs[key].work.caller.clone();
                self.queues.unpop(length, caller, next);
                return;
            }
            if let Some((home, account)) = self.free_home(now) {
                let account = Account {
                    tag: next.tag,
                    ..account
                };
                self.pass(key, home, account, now);
            }
        }
    }
}
