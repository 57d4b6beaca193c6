//! Assignment of free slots to queued requests.

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
    /// Assigns all free slots to queued requests, then forwards queued requests to homes with free
    /// slots.
    pub(super) fn assign_slots(&mut self, now: Moment) {
        while let Some(duration) = self.next_duration(now) {
            let Some(next) = self.queues.pop(duration, now) else {
                break;
            };
            self.assign(next, duration, now);
        }
        self.forward_queued(ExpectedDuration::Short, now);
        self.forward_queued(ExpectedDuration::Long, now);
    }

    /// Expected duration of the next request: among those with a free slot, the one with the lowest
    /// tag.
    fn next_duration(&self, now: Moment) -> Option<ExpectedDuration> {
        let runnable_tag = |duration| {
            let tag = self.queues.lowest_tag(duration)?;
            self.has_free_slot(duration, now).then_some(tag)
        };
        match (
            runnable_tag(ExpectedDuration::Short),
            runnable_tag(ExpectedDuration::Long),
        ) {
            (None, None) => None,
            (Some(_), None) => Some(ExpectedDuration::Short),
            (None, Some(_)) => Some(ExpectedDuration::Long),
            (Some(short), Some(long)) if long < short => Some(ExpectedDuration::Long),
            _ => Some(ExpectedDuration::Short),
        }
    }

    fn assign(&mut self, next: Dequeued, duration: ExpectedDuration, now: Moment) {
        let key = next.entry.key;
        if next.entry.deadline <= now {
            self.refuse(key, Reason::Deadline, now);
            return;
        }
        let available = self.available_servers(duration, now);
        let scores = available.iter().map(|server| server.score);
        let Some(index) = choice::highest_score(scores, &mut self.rng) else {
            self.refuse(key, Reason::NoCapacity, now);
            return;
        };
        let server = available[index].key;
        let candidates = self.candidates(&available, index);
        self.occupy_slot(key, server, now);
        let trace = DecisionTrace {
            tag: next.tag,
            candidates,
            ..self.new_trace(key, now)
        };
        let mirror = self.mirror_of(key, now);
        let owned = &self.servers[server];
        let assignment = Assignment {
            server: owned.server.name.clone(),
            address: owned.server.address,
            max_connections: owned.server.max_connections,
            mirror,
        };
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Run(assignment),
            trace,
        });
    }

    /// Assigns a slot to a copy of the request, at a server of which health evidence is needed.
    fn mirror_of(&mut self, key: RequestKey, now: Moment) -> Option<Mirror> {
        let tracked = &self.requests[key];
        if !tracked.request.idempotent || tracked.request.duration != ExpectedDuration::Short {
            return None;
        }
        let server = self.mirror_target(now)?;
        if !self.mirror_budget.try_spend() {
            return None;
        }
        let mut tracked = tracked.clone();
        tracked.counted = false;
        let copy = self.requests.insert(tracked);
        self.occupy_slot(copy, server, now);
        let owned = &self.servers[server];
        Some(Mirror {
            key: copy,
            server: owned.server.name.clone(),
            address: owned.server.address,
            max_connections: owned.server.max_connections,
        })
    }

    fn occupy_slot(&mut self, key: RequestKey, server: ServerKey, now: Moment) {
        let tracked = &mut self.requests[key];
        tracked.stage = Stage::Running(Running {
            server,
            started: now,
            overdue: false,
        });
        let owned = &mut self.servers[server];
        owned.busy += 1;
        if tracked.request.duration == ExpectedDuration::Long {
            owned.long += 1;
        }
    }

    fn forward_queued(&mut self, duration: ExpectedDuration, now: Moment) {
        while self.queues.queued(duration) > 0 {
            if !self.homes.iter().any(|home| home.has_free_slot(now)) {
                return;
            }
            let Some(next) = self.queues.pop(duration, now) else {
                return;
            };
            let key = next.entry.key;
            if !self.can_forward(key) {
                let caller = self.requests[key].request.caller.clone();
                self.queues.requeue(duration, caller, next);
                return;
            }
            if let Some((home, trace)) = self.choose_free_home(now) {
                let trace = DecisionTrace {
                    tag: next.tag,
                    ..trace
                };
                self.forward(key, home, trace, now);
            }
        }
    }
}
