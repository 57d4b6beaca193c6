//! Evidence and what follows from it.

use wb_types::id::Moment;

use super::Change;
use super::Patient;
use super::Sample;
use super::ServerKey;
use super::Ward;
use crate::floor;

/// Other servers with evidence that are needed to tell what is usual.
const OTHERS_MIN: usize = 2;
/// Multiple of the usual share of bad work that sets a sick server apart. Evidence that was
/// gathered before the others turned bad too is void.
const APART: f64 = 3.0;

impl Ward {
    /// Takes one piece of evidence; gives the change that follows from it, if any.
    pub fn record(&mut self, key: ServerKey, sample: Sample, now: Moment) -> Option<Change> {
        let bad = self.is_bad(sample)?;
        if let Sample::Short(took) = sample {
            self.baseline.add(took);
        }
        let usual = self.usual(key);
        let options = self.options.clone();
        let server = self.servers.get_mut(key)?;
        server.score.add(bad, usual, &options, now);
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
            Sample::Short(took) => Some(took > self.overdue()),
        }
    }

    /// Share of bad work that is usual: the median of the other servers in rotation.
    fn usual(&self, key: ServerKey) -> f64 {
        let others = self.servers.iter().filter(|(other, _)| *other != key);
        let mut rates: Vec<f64> = others
            .filter(|(_, server)| server.in_rotation())
            .map(|(_, server)| server.score.rate(&self.options))
            .collect();
        if rates.len() < OTHERS_MIN {
            return self.options.usual;
        }
        rates.sort_by(f64::total_cmp);
        rates[(rates.len() - 1) / 2]
    }

    fn judge(&mut self, key: ServerKey, now: Moment) -> Option<Change> {
        let server = self.servers.get(key)?;
        let score = server.score.value();
        if score >= self.options.eject {
            let rate = server.score.rate(&self.options);
            if rate >= self.usual(key) * APART {
                return self.convict(key, now);
            }
            self.servers.get_mut(key)?.score.clear();
        }
        let options = self.options.clone();
        let server = self.servers.get_mut(key)?;
        if score >= options.doubt {
            return step(server, "doubt", now);
        }
        if score < options.doubt / 2.0 {
            server.held = false;
            return step(server, "clear", now);
        }
        None
    }

    fn convict(&mut self, key: ServerKey, now: Moment) -> Option<Change> {
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
        Some(Change {
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
        floor::allows(&self.capacities(now), self.floor, taken)
    }

    fn judge_trial(&mut self, key: ServerKey, bad: bool, now: Moment) -> Option<Change> {
        let wanted = self.options.trial;
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
pub(super) fn step(server: &mut Patient, event: &str, now: Moment) -> Option<Change> {
    let from = server.machine.state().to_owned();
    let to = server.machine.step(event)?.to_owned();
    server.since = now;
    server.trials = 0;
    Some(Change {
        server: server.name.clone(),
        from,
        to,
        score: server.score.value(),
        floor: false,
    })
}
