//! The other homes of the service.

use std::time::Duration;

use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::member::HomeLoad;
use wb_types::member::RowLoad;
use wb_types::policy::RowKey;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::Home;
use super::RequestKey;
use super::RowState;
use super::SILENCE;
use super::Stage;
use super::Told;
use crate::choice;
use crate::limit;
use crate::policy::Candidate;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::Verdict;

/// Time after which all rows are told again.
const TOLD_LIFE: Duration = Duration::from_millis(400);
/// Relative change that is told at once.
const DIFFERENCE: f32 = 0.1;

impl Home {
    /// Whether the home was heard of late.
    fn is_fresh(&self, now: Moment) -> bool {
        self.heard.is_some_and(|at| now - at < SILENCE)
    }

    /// Whether the home has a free slot, as far as is known, and can be reached.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        self.free > 0 && self.avoid <= now && self.is_fresh(now)
    }
}

impl Dispatcher {
    pub(super) fn take_load(&mut self, load: &HomeLoad, now: Moment) {
        let home = self.homes.iter_mut().find(|home| home.name == load.home);
        let Some(home) = home else {
            return;
        };
        home.free = load.free_slots;
        home.waiting = load.waiting;
        home.healthy = load.healthy_slots;
        home.heard = Some(now);
        for row in &load.rows {
            home.rows.retain(|known| known.row != row.row);
            home.rows.push(row.clone());
        }
        self.decide(now);
    }

    /// Another home with a free slot, as far as is known.
    pub(super) fn free_home(&mut self, now: Moment) -> Option<(InstanceName, DecisionTrace)> {
        let open = self.homes.iter().filter(|home| home.is_open(now));
        let candidates: Vec<Candidate> = open
            .map(|home| Candidate {
                name: home.name.clone(),
                free: home.free,
                score: home.free as f32,
            })
            .collect();
        self.choose_home(candidates)
    }

    /// Any other home: one with free slots if there is one, else the one with the least work
    /// waiting for its slots.
    pub(super) fn any_home(&mut self, now: Moment) -> Option<(InstanceName, DecisionTrace)> {
        if let Some(found) = self.free_home(now) {
            return Some(found);
        }
        let open = self.homes.iter().filter(|home| home.avoid <= now);
        let candidates: Vec<Candidate> = open
            .map(|home| Candidate {
                name: home.name.clone(),
                free: home.free,
                score: -(home.waiting as f32) / home.healthy.max(1) as f32,
            })
            .collect();
        self.choose_home(candidates)
    }

    fn choose_home(&mut self, candidates: Vec<Candidate>) -> Option<(InstanceName, DecisionTrace)> {
        let index = choice::better_of_two_random(&candidates, &mut self.rng)?;
        let name = candidates[index].name.clone();
        if let Some(home) = self.homes.iter_mut().find(|home| home.name == name) {
            home.free = home.free.saturating_sub(1);
        }
        let trace = DecisionTrace {
            candidates,
            ..DecisionTrace::default()
        };
        Some((name, trace))
    }

    pub(super) fn pass(
        &mut self,
        key: RequestKey,
        home: InstanceName,
        trace: DecisionTrace,
        now: Moment,
    ) {
        let trace = DecisionTrace {
            candidates: trace.candidates,
            tag: trace.tag,
            ..self.trace(key, now)
        };
        self.jobs[key].stage = Stage::Passed;
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Forward(home),
            trace,
        });
    }

    /// Sets each row's share from the demand here and at the other homes.
    pub(super) fn share_limits(&mut self, now: Moment) {
        let count = self.homes.len() + 1;
        for state in self.rows.values_mut() {
            let others = others_of(&self.homes, &state.row.key, count, now);
            let waiting = self.queues.queued_in_class(&state.row.key.class);
            let demand = state.need(waiting, now);
            state.share = limit::next_share(demand, count, &others);
        }
    }

    pub(super) fn tell(&mut self, now: Moment) -> HomeLoad {
        let free_slots = self.free_all(ExpectedDuration::Short, now);
        let waiting = self.queues.queued(ExpectedDuration::Short)
            + self.queues.queued(ExpectedDuration::Long);
        let all = now >= self.told_until;
        if all {
            self.told_until = now + TOLD_LIFE;
        }
        let mut rows = Vec::new();
        for state in self.rows.values_mut() {
            let waiting = self.queues.queued_in_class(&state.row.key.class);
            let load = RowLoad {
                row: state.row.key.clone(),
                demand: state.need(waiting, now) as f32,
                share: state.share as f32,
            };
            if all || differs(&load, &state.told) {
                state.told = Told {
                    demand: load.demand,
                    share: load.share,
                };
                rows.push(load);
            }
        }
        HomeLoad {
            home: self.options.instance.clone(),
            service: self.options.service.clone(),
            free_slots,
            waiting: waiting as u32,
            healthy_slots: self.ward.healthy_slots(now),
            rows,
        }
    }
}

impl RowState {
    /// The largest part of one of the row's limits that is asked for, 1 being the whole limit.
    fn need(&mut self, waiting: usize, now: Moment) -> f64 {
        let parts = [
            self.demand.rate(now) / self.row.rate.max(f64::MIN_POSITIVE),
            f64::from(self.running) / f64::from(self.row.concurrency.max(1)),
            waiting as f64 / f64::from(self.row.queue.max(1)),
        ];
        parts.into_iter().fold(0.0, f64::max)
    }
}

/// Whether a row has changed by more than a tenth since it was told.
fn differs(load: &RowLoad, told: &Told) -> bool {
    let apart = |a: f32, b: f32| (a - b).abs() > DIFFERENCE * a.max(b).max(DIFFERENCE);
    apart(load.demand, told.demand) || apart(load.share, told.share)
}

fn others_of(homes: &[Home], row: &RowKey, count: usize, now: Moment) -> Vec<limit::OtherHome> {
    let even = 1.0 / count as f64;
    let view = |home: &Home| {
        let load = home.rows.iter().find(|load| load.row == *row);
        let fresh = home.is_fresh(now);
        limit::OtherHome {
            demand: load.map_or(0.0, |load| f64::from(load.demand)),
            share: load.map_or(even, |load| f64::from(load.share)),
            fresh,
        }
    };
    homes.iter().map(view).collect()
}
