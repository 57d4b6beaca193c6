//! Load exchange with the other homes of the service, and forwarding to them.

use std::time::Duration;

use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::member::HomeLoad;
use wb_types::member::RowLoad;
use wb_types::policy::RowKey;
use wb_types::request::ExpectedDuration;

use super::Dispatcher;
use super::HOME_LOAD_TTL;
use super::HomeState;
use super::ReportedLoad;
use super::RequestKey;
use super::RowState;
use super::Stage;
use crate::choice;
use crate::limit;
use crate::policy::Candidate;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::Verdict;

/// Interval of reports with all rows; reports between hold only changed rows.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Relative change of a row's load that is reported at once.
const REPORT_THRESHOLD: f32 = 0.1;

impl HomeState {
    /// Whether the home's last report is recent.
    fn is_fresh(&self, now: Moment) -> bool {
        self.last_report.is_some_and(|at| now - at < HOME_LOAD_TTL)
    }

    /// Whether the home can be reached and has a free slot by its last report.
    pub(super) fn has_free_slot(&self, now: Moment) -> bool {
        self.free_slots > 0 && self.avoid_until <= now && self.is_fresh(now)
    }
}

impl Dispatcher {
    pub(super) fn apply_load(&mut self, load: &HomeLoad, now: Moment) {
        let home = self.homes.iter_mut().find(|home| home.name == load.home);
        let Some(home) = home else {
            return;
        };
        home.free_slots = load.free_slots;
        home.queued = load.queued;
        home.healthy_slots = load.healthy_slots;
        home.last_report = Some(now);
        for row in &load.rows {
            home.rows.retain(|known| known.row != row.row);
            home.rows.push(row.clone());
        }
        self.assign_slots(now);
    }

    /// Chooses another home with a free slot by its last report.
    pub(super) fn choose_free_home(
        &mut self,
        now: Moment,
    ) -> Option<(InstanceName, DecisionTrace)> {
        let available = self.homes.iter().filter(|home| home.has_free_slot(now));
        let candidates: Vec<Candidate> = available
            .map(|home| Candidate {
                name: home.name.clone(),
                free: home.free_slots,
                score: home.free_slots as f32,
            })
            .collect();
        self.choose_among(candidates)
    }

    /// Chooses another home: among those with a free slot if there are any, else with a preference
    /// for few queued requests per healthy slot.
    pub(super) fn choose_any_home(&mut self, now: Moment) -> Option<(InstanceName, DecisionTrace)> {
        if let Some(found) = self.choose_free_home(now) {
            return Some(found);
        }
        let available = self.homes.iter().filter(|home| home.avoid_until <= now);
        let candidates: Vec<Candidate> = available
            .map(|home| Candidate {
                name: home.name.clone(),
                free: home.free_slots,
                score: -(home.queued as f32) / home.healthy_slots.max(1) as f32,
            })
            .collect();
        self.choose_among(candidates)
    }

    fn choose_among(
        &mut self,
        candidates: Vec<Candidate>,
    ) -> Option<(InstanceName, DecisionTrace)> {
        let index = choice::better_of_two_random(&candidates, &mut self.rng)?;
        let name = candidates[index].name.clone();
        if let Some(home) = self.homes.iter_mut().find(|home| home.name == name) {
            home.free_slots = home.free_slots.saturating_sub(1);
        }
        let trace = DecisionTrace {
            candidates,
            ..DecisionTrace::default()
        };
        Some((name, trace))
    }

    pub(super) fn forward(
        &mut self,
        key: RequestKey,
        home: InstanceName,
        trace: DecisionTrace,
        now: Moment,
    ) {
        let trace = DecisionTrace {
            candidates: trace.candidates,
            tag: trace.tag,
            ..self.new_trace(key, now)
        };
        self.requests[key].stage = Stage::Forwarded;
        self.decisions.push(Decision {
            key,
            verdict: Verdict::Forward(home),
            trace,
        });
    }

    /// Updates the share of each row from the demand here and at the other homes.
    pub(super) fn update_shares(&mut self, now: Moment) {
        let count = self.homes.len() + 1;
        for state in self.rows.values_mut() {
            let others = other_homes(&self.homes, &state.row.key, count, now);
            let queued = self.queues.queued_in_class(&state.row.key.class);
            let demand = state.utilization(queued, now);
            state.share = limit::next_share(demand, count, &others);
        }
    }

    pub(super) fn report_load(&mut self, now: Moment) -> HomeLoad {
        let free_slots = self.total_free_slots(ExpectedDuration::Short, now);
        let queued = self.queues.queued(ExpectedDuration::Short)
            + self.queues.queued(ExpectedDuration::Long);
        let full = now >= self.refresh_due;
        if full {
            self.refresh_due = now + FULL_REPORT_INTERVAL;
        }
        let mut rows = Vec::new();
        for state in self.rows.values_mut() {
            let queued = self.queues.queued_in_class(&state.row.key.class);
            let load = RowLoad {
                row: state.row.key.clone(),
                demand: state.utilization(queued, now) as f32,
                share: state.share as f32,
            };
            if full || has_changed(&load, &state.reported) {
                state.reported = ReportedLoad {
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
            queued: queued as u32,
            healthy_slots: self.health.healthy_slots(now),
            rows,
        }
    }
}

impl RowState {
    /// Demand for the row: the highest utilization among its limits, where 1 is the whole limit.
    fn utilization(&mut self, queued: usize, now: Moment) -> f64 {
        let utilizations = [
            self.demand.rate(now) / self.row.rate.max(f64::MIN_POSITIVE),
            f64::from(self.running) / f64::from(self.row.concurrency.max(1)),
            queued as f64 / f64::from(self.row.queue.max(1)),
        ];
        utilizations.into_iter().fold(0.0, f64::max)
    }
}

/// Whether a row's load has changed by more than a tenth since it was reported.
fn has_changed(load: &RowLoad, reported: &ReportedLoad) -> bool {
    let differs =
        |a: f32, b: f32| (a - b).abs() > REPORT_THRESHOLD * a.max(b).max(REPORT_THRESHOLD);
    differs(load.demand, reported.demand) || differs(load.share, reported.share)
}

fn other_homes(
    homes: &[HomeState],
    row: &RowKey,
    count: usize,
    now: Moment,
) -> Vec<limit::OtherHome> {
    let equal_share = 1.0 / count as f64;
    let report = |home: &HomeState| {
        let load = home.rows.iter().find(|load| load.row == *row);
        let fresh = home.is_fresh(now);
        limit::OtherHome {
            demand: load.map_or(0.0, |load| f64::from(load.demand)),
            share: load.map_or(equal_share, |load| f64::from(load.share)),
            fresh,
        }
    };
    homes.iter().map(report).collect()
}
