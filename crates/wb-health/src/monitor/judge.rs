//! Evidence and what follows from it.

use std::time::Duration;

use wb_types::id::Moment;

use super::HealthMonitor;
use super::Patient;
use super::Sample;
use super::ServerKey;
use super::StateChange;
use crate::floor;
use crate::score::Evidence;
use crate::score::Score;

/// Other servers with evidence that are needed to tell what is usual.
const OTHERS_MIN: usize = 2;
/// Multiple of the others' mean share that sets a sick server apart, also where some are sick.
const APART_MEAN: f64 = 2.5;
/// Pieces of work of the others from which on they are known.
const YOUNG: f64 = 100.0;
/// Pieces of bad work that the others may yet turn out to have.
const DOUBTFUL: f64 = 3.0;
/// Pieces of work that the others are taken to have done at least.
const FEW: f64 = 30.0;
/// Time for which the sorted rates are used.
const RATES_LIFE: Duration = Duration::from_millis(50);
/// Multiple of the usual share of bad work that sets a sick server apart. Evidence that was
/// gathered before the others turned bad too is void.
const APART: f64 = 3.0;
/// Score at the median of the others from which a fault counts as shared.
const SHARED: f64 = 1.0;

impl HealthMonitor {
    /// Takes one piece of evidence; gives the change that follows from it, if any.
    pub fn record(&mut self, key: ServerKey, sample: Sample, now: Moment) -> Option<StateChange> {
        let bad = self.is_bad(sample)?;
        if let Sample::Short(took) = sample {
            self.baseline.add(took);
        }
        let usual = self.usual(key, now);
        let server = self.servers.get_mut(key)?;
        server.score.record(bad, usual, &self.options, now);
        match server.machine.state() {
            "trial" => self.judge_trial(key, bad, now),
            "healthy" | "suspect" => self.judge(key, now),
            _ => None,
        }
    }

    /// Whether a sample speaks against the server; `None` if it says nothing.
    fn is_bad(&self, sample: Sample) -> Option<bool> {
        match sample {
            Sample::Bad | Sample::Overdue => Some(true),
            Sample::Long => None,
            Sample::Short(took) => Some(took > self.overdue_after()),
        }
    }

    /// Share of bad work that is usual: the median of the other servers in rotation.
    fn usual(&mut self, key: ServerKey, now: Moment) -> f64 {
        self.renew_rates(now);
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
        // The server's own rate stands somewhere in the list: the median is that of the others.
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

    /// Whether the others are in doubt too: then the fault is one that they share, and what is
    /// usual is about to change.
    fn shared(&self, key: ServerKey) -> bool {
        let mut scores: Vec<f64> = self.others(key).map(Score::value).collect();
        if scores.len() < OTHERS_MIN {
            return false;
        }
        scores.sort_by(f64::total_cmp);
        scores[scores.len() / 2] >= SHARED
    }

    /// Share of bad work at the others together, taken for higher while they have shown little.
    fn mean(&self, key: ServerKey) -> f64 {
        let mut sum = Evidence::default();
        for evidence in self.others(key).map(Score::evidence) {
            sum.bad += evidence.bad;
            sum.total += evidence.total;
        }
        let doubtful = if sum.total < YOUNG { DOUBTFUL } else { 0.0 };
        (sum.bad + doubtful) / sum.total.max(FEW)
    }

    /// Sorts the rates of the servers in rotation, unless that was done a moment ago.
    fn renew_rates(&mut self, now: Moment) {
        if now < self.rates.until {
            return;
        }
        let rotation = self.servers.values().filter(|server| server.in_rotation());
        let rates = rotation.map(|server| server.score.rate(&self.options));
        self.rates.sorted = rates.collect();
        self.rates.sorted.sort_by(f64::total_cmp);
        self.rates.until = now + RATES_LIFE;
    }

    fn judge(&mut self, key: ServerKey, now: Moment) -> Option<StateChange> {
        let score = self.servers.get(key)?.score.value();
        if score >= self.options.eject_score {
            self.rates.until = Moment::ZERO;
            let rate = self.servers.get(key)?.score.rate(&self.options);
            if self.shared(key) {
                return None;
            }
            let median = self.usual(key, now) * APART;
            let mean = self.mean(key) * APART_MEAN;
            if rate >= median.max(mean) {
                return self.convict(key, now);
            }
            self.servers.get_mut(key)?.score.clear();
        }
        let doubt = self.options.suspect_score;
        let server = self.servers.get_mut(key)?;
        if score >= doubt {
            return step(server, "doubt", now);
        }
        if score < doubt / 2.0 {
            server.held = false;
            return step(server, "clear", now);
        }
        None
    }

    fn convict(&mut self, key: ServerKey, now: Moment) -> Option<StateChange> {
        let allowed = self.may_eject(key, now);
        let server = self.servers.get_mut(key)?;
        if allowed {
            server.held = false;
            server.flaps += 1;
            return step(server, "convict", now);
        }
        if server.held {
            return None;
        }
        server.held = true;
        let state = server.machine.state().to_owned();
        Some(StateChange {
            server: server.name.clone(),
            from: state.clone(),
            to: state,
            score: server.score.value(),
            floor: true,
        })
    }

    /// Whether the floor holds without a server.
    fn may_eject(&self, key: ServerKey, now: Moment) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let counted = server.settled <= now && !server.leaving && server.warm <= now;
        let taken = if counted { server.slots } else { 0 };
        floor::holds_without(&self.capacities(now), self.floor, taken)
    }

    fn judge_trial(&mut self, key: ServerKey, bad: bool, now: Moment) -> Option<StateChange> {
        let wanted = self.options.trial_samples;
        let server = self.servers.get_mut(key)?;
        if bad {
            server.flaps += 1;
            return step(server, "relapse", now);
        }
        server.trials += 1;
        if server.trials < wanted {
            return None;
        }
        server.score.reset(0.0);
        step(server, "recover", now)
    }
}

/// Takes an event of the chart.
pub(super) fn step(server: &mut Patient, event: &str, now: Moment) -> Option<StateChange> {
    let from = server.machine.state().to_owned();
    let to = server.machine.step(event)?.to_owned();
    server.rotation = matches!(to.as_str(), "healthy" | "suspect");
    server.since = now;
    server.trials = 0;
    Some(StateChange {
        server: server.name.clone(),
        from,
        to,
        score: server.score.value(),
        floor: false,
    })
}
