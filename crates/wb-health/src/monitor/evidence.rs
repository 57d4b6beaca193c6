//! Evidence on servers, and the ejections that follow from it.

use std::time::Duration;

use wb_types::id::Moment;

use super::Evidence;
use super::HealthMonitor;
use super::MonitoredServer;
use super::ServerKey;
use super::StateChange;
use crate::floor;
use crate::score::ResultCounts;
use crate::score::Score;

/// Other servers in rotation that are needed to estimate the usual rate of bad results.
const OTHERS_MIN: usize = 2;
/// Lowest ratio of a failing server's rate to the mean rate of the others; needed where some of the
/// others fail too.
const MEAN_RATIO_MIN: f64 = 2.5;
/// Results of the others below which their mean rate is uncertain.
const CERTAIN_SAMPLES: f64 = 100.0;
/// Bad results that are added to those of the others while their mean rate is uncertain.
const UNCERTAIN_BAD: f64 = 3.0;
/// Lower bound of the results of the others in their mean rate.
const MEAN_SAMPLES_MIN: f64 = 30.0;
/// Time for which the sorted rates are cached.
const RATES_TTL: Duration = Duration::from_millis(50);
/// Lowest ratio of a failing server's rate to the usual rate. It drops a score that was reached
/// before the others began to fail too.
const USUAL_RATIO_MIN: f64 = 3.0;
/// Median score of the others, in nats, from which a fault counts as shared.
const SHARED_SCORE: f64 = 1.0;

impl HealthMonitor {
    /// Records one result. Returns the state change that follows from it, if any.
    pub fn record(
        &mut self,
        key: ServerKey,
        evidence: Evidence,
        now: Moment,
    ) -> Option<StateChange> {
        let bad = self.is_bad(evidence)?;
        if let Evidence::Short(took) = evidence {
            self.baseline.record(took);
        }
        let usual = self.usual_rate(key, now);
        let server = self.servers.get_mut(key)?;
        server.score.record(bad, usual, &self.options, now);
        match server.machine.state() {
            "trial" => self.evaluate_trial(key, bad, now),
            "healthy" | "suspect" => self.evaluate(key, now),
            _ => None,
        }
    }

    /// Whether a result speaks against the server; `None` if it says nothing about it.
    fn is_bad(&self, evidence: Evidence) -> Option<bool> {
        match evidence {
            Evidence::Failed | Evidence::Overdue => Some(true),
            Evidence::Long => None,
            Evidence::Short(took) => Some(took > self.overdue_after()),
        }
    }

    /// Usual rate of bad results: the median of the other servers in rotation.
    fn usual_rate(&mut self, key: ServerKey, now: Moment) -> f64 {
        self.refresh_rates(now);
        let Some(server) = self.servers.get(key) else {
            return self.options.usual_rate;
        };
        let sorted = &self.rates.sorted;
        let own = server
            .in_rotation()
            .then(|| server.score.rate(&self.options));
        let others = sorted.len() - usize::from(own.is_some()).min(sorted.len());
        if others < OTHERS_MIN {
            return self.options.usual_rate;
        }
        // The list includes the server's own rate: skip it to get the median of the others.
        let middle = (others - 1) / 2;
        match own {
            Some(own) if own <= sorted[middle] => sorted[middle + 1],
            _ => sorted[middle],
        }
    }

    /// Scores of the other servers in rotation.
    fn others(&self, key: ServerKey) -> impl Iterator<Item = &Score> {
        let others = self.servers.iter().filter(move |(other, _)| *other != key);
        others
            .filter(|(_, server)| server.in_rotation())
            .map(|(_, server)| &server.score)
    }

    /// Whether the scores of the others have risen too: then the fault is shared, and the usual
    /// rate is about to change.
    fn is_fault_shared(&self, key: ServerKey) -> bool {
        let mut scores: Vec<f64> = self.others(key).map(Score::value).collect();
        if scores.len() < OTHERS_MIN {
            return false;
        }
        scores.sort_by(f64::total_cmp);
        scores[scores.len() / 2] >= SHARED_SCORE
    }

    /// Mean rate of bad results of the others together, taken to be higher while they have few
    /// results.
    fn mean_rate(&self, key: ServerKey) -> f64 {
        let mut sum = ResultCounts::default();
        for counts in self.others(key).map(Score::result_counts) {
            sum.bad += counts.bad;
            sum.total += counts.total;
        }
        let uncertain = if sum.total < CERTAIN_SAMPLES {
            UNCERTAIN_BAD
        } else {
            0.0
        };
        (sum.bad + uncertain) / sum.total.max(MEAN_SAMPLES_MIN)
    }

    /// Collects and sorts the rates of the servers in rotation, unless they are still cached.
    fn refresh_rates(&mut self, now: Moment) {
        if now < self.rates.valid_until {
            return;
        }
        let rotation = self.servers.values().filter(|server| server.in_rotation());
        let rates = rotation.map(|server| server.score.rate(&self.options));
        self.rates.sorted = rates.collect();
        self.rates.sorted.sort_by(f64::total_cmp);
        self.rates.valid_until = now + RATES_TTL;
    }

    fn evaluate(&mut self, key: ServerKey, now: Moment) -> Option<StateChange> {
        let score = self.servers.get(key)?.score.value();
        if score >= self.options.eject_score {
            self.rates.valid_until = Moment::ZERO;
            let rate = self.servers.get(key)?.score.rate(&self.options);
            if self.is_fault_shared(key) {
                return None;
            }
            let median = self.usual_rate(key, now) * USUAL_RATIO_MIN;
            let mean = self.mean_rate(key) * MEAN_RATIO_MIN;
            if rate >= median.max(mean) {
                return self.eject(key, now);
            }
            self.servers.get_mut(key)?.score.clear();
        }
        let suspect_score = self.options.suspect_score;
        let server = self.servers.get_mut(key)?;
        if score >= suspect_score {
            return apply_event(server, "doubt", now);
        }
        if score < suspect_score / 2.0 {
            server.floor_held = false;
            return apply_event(server, "clear", now);
        }
        None
    }

    fn eject(&mut self, key: ServerKey, now: Moment) -> Option<StateChange> {
        let allowed = self.may_eject(key, now);
        let server = self.servers.get_mut(key)?;
        if allowed {
            server.floor_held = false;
            server.ejections += 1;
            return apply_event(server, "convict", now);
        }
        if server.floor_held {
            return None;
        }
        server.floor_held = true;
        let state = server.machine.state().to_owned();
        Some(StateChange {
            server: server.name.clone(),
            from: state.clone(),
            to: state,
            score: server.score.value(),
            floor: true,
        })
    }

    /// Whether the floor holds if a server is ejected.
    fn may_eject(&self, key: ServerKey, now: Moment) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let counted = server.settled_at <= now && !server.leaving && server.warm_at <= now;
        let taken = if counted { server.slots } else { 0 };
        floor::holds_without(&self.capacities(now), self.floor, taken)
    }

    fn evaluate_trial(&mut self, key: ServerKey, bad: bool, now: Moment) -> Option<StateChange> {
        let wanted = self.options.trial_samples;
        let server = self.servers.get_mut(key)?;
        if bad {
            server.ejections += 1;
            return apply_event(server, "relapse", now);
        }
        server.trial_successes += 1;
        if server.trial_successes < wanted {
            return None;
        }
        server.score.reset(0.0);
        apply_event(server, "recover", now)
    }
}

/// Applies an event of the state chart.
pub(super) fn apply_event(
    server: &mut MonitoredServer,
    event: &str,
    now: Moment,
) -> Option<StateChange> {
    let from = server.machine.state().to_owned();
    let to = server.machine.step(event)?.to_owned();
    server.in_rotation = matches!(to.as_str(), "healthy" | "suspect");
    server.state_since = now;
    server.trial_successes = 0;
    Some(StateChange {
        server: server.name.clone(),
        from,
        to,
        score: server.score.value(),
        floor: false,
    })
}
