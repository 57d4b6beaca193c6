//! Results of sends, and the evidence that they give on servers.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::AttemptOutcome;
use super::Balancer;
use super::EvidenceReport;
use super::ServerEntry;
use super::ServerKey;
use crate::Evidence;

/// Weight of the newest sample in the moving average of a server's duration ratio.
const RATIO_ALPHA: f64 = 0.12;
/// Cap on the ratio of one duration to the route's average, so that one straggler does not mark its
/// server as slow.
const RATIO_MAX: f64 = 4.0;
/// Weight of the newest send in the failure rate: averages over about a second at a busy home.
const FAILURE_ALPHA: f64 = 0.01;
/// Weight of the newest request in the rate of unserved ones.
pub(super) const UNSERVED_ALPHA: f64 = 0.02;
/// Weight of the newest send in a server's shed rate.
const SHED_ALPHA: f64 = 0.2;
/// Time in which a server that shed a request is sent no other.
const SHED_BACKOFF: Duration = Duration::from_millis(60);

impl Balancer {
    /// Ends a send of one of the route's requests and frees its slot. Returns the evidence to
    /// report to peers, if there is any: all but a success of a server that was not suspect.
    pub fn finish(
        &mut self,
        key: ServerKey,
        route: &str,
        outcome: AttemptOutcome,
        now: Moment,
    ) -> Option<EvidenceReport> {
        if let AttemptOutcome::Success(duration) | AttemptOutcome::Late(duration) = outcome {
            self.record_duration(key, route, duration);
            if let Some(hedging) = &mut self.hedging {
                hedging.record_duration(route, duration, now);
            }
        }
        match outcome {
            AttemptOutcome::Success(_) => self.record_overdue(0.0),
            AttemptOutcome::Failure(_) => self.record_overdue(1.0),
            _ => {}
        }
        let lacks_explorers = self.lacks_explorers();
        let entry = self.servers.get_mut(key)?;
        let failed = match outcome {
            AttemptOutcome::Success(_) | AttemptOutcome::Late(_) => Some(0.0),
            AttemptOutcome::Failure(_) | AttemptOutcome::Timeout => Some(1.0),
            _ => None,
        };
        if let Some(failed) = failed.filter(|_| !entry.detector.in_trial()) {
            self.failure_rate += (failed - self.failure_rate) * FAILURE_ALPHA;
            self.unserved_rate += (failed - self.unserved_rate) * UNSERVED_ALPHA;
        }
        entry.own_running = entry.own_running.saturating_sub(1);
        entry.detector.set_in_trial(false);
        match outcome {
            AttemptOutcome::Success(took)
                if lacks_explorers && entry.detector.is_outdated(now.saturating_sub(took)) =>
            {
                None
            }
            AttemptOutcome::Success(_) => {
                entry.shed_rate *= 1.0 - SHED_ALPHA;
                entry.record(Evidence::Good, now)
            }
            AttemptOutcome::Late(_) => {
                entry.shed_rate *= 1.0 - SHED_ALPHA;
                entry.record(Evidence::Late, now)
            }
            AttemptOutcome::Failure(evidence) => entry.record(evidence, now),
            AttemptOutcome::Shed => {
                entry.shed_rate += (1.0 - entry.shed_rate) * SHED_ALPHA;
                entry.backoff_until = now + SHED_BACKOFF;
                None
            }
            AttemptOutcome::Misdirected => {
                entry.misdirected = true;
                None
            }
            AttemptOutcome::Timeout | AttemptOutcome::Inconclusive => None,
        }
    }

    /// Records evidence from a request that is still in flight.
    pub fn record_evidence(
        &mut self,
        key: ServerKey,
        evidence: Evidence,
        now: Moment,
    ) -> Option<EvidenceReport> {
        if evidence == Evidence::Overdue {
            self.record_overdue(1.0);
        }
        self.servers.get_mut(key)?.record(evidence, now)
    }

    fn record_overdue(&mut self, overdue: f64) {
        self.overdue_rate += (overdue - self.overdue_rate) * UNSERVED_ALPHA;
    }

    /// Records evidence that a peer reported. Returns a report only if it changed whether the
    /// server is suspect.
    pub fn record_peer_evidence(
        &mut self,
        server: &ServerName,
        evidence: Evidence,
        now: Moment,
    ) -> Option<EvidenceReport> {
        let entry = self.by_name(server)?;
        let changed = entry.detector.record_peer(evidence, now);
        changed.then(|| entry.report(evidence, changed))
    }

    /// Records complete responses that peers got, for servers that are not suspect here.
    pub fn record_peer_successes(&mut self, servers: &[ServerName], now: Moment) {
        for server in servers {
            let entry = self.by_name(server);
            if let Some(entry) = entry.filter(|entry| !entry.detector.is_suspect()) {
                entry.detector.record_peer(Evidence::Good, now);
            }
        }
    }

    /// Takes back what peers have reported against servers that responded to this instance lately: a
    /// peer has turned out to have no path to them.
    pub fn retract_peer_evidence(&mut self, now: Moment) {
        for entry in self.servers.values_mut() {
            entry.detector.retract_peer_evidence(now);
        }
    }

    /// Takes back what is held against the servers: this instance had no path to them.
    pub fn retract_evidence(&mut self) {
        for entry in self.servers.values_mut() {
            entry.detector.retract_evidence();
        }
    }

    fn record_duration(&mut self, key: ServerKey, route: &str, duration: Duration) {
        let seconds = duration.as_secs_f64();
        let Some(average) = self.durations.record(route, seconds) else {
            return;
        };
        let ratio = (seconds / average).min(RATIO_MAX);
        if let Some(entry) = self.servers.get_mut(key) {
            entry.duration_ratio += (ratio - entry.duration_ratio) * RATIO_ALPHA;
        }
    }
}

impl ServerEntry {
    fn record(&mut self, evidence: Evidence, now: Moment) -> Option<EvidenceReport> {
        let was_suspect = self.detector.is_suspect();
        let changed = self.detector.record(evidence, now);
        let reported = if was_suspect && !evidence.is_response() {
            Evidence::TrialFailed
        } else {
            evidence
        };
        // That a path is still cut for this instance says nothing to the others.
        let news = match evidence {
            Evidence::Good => was_suspect,
            Evidence::Unreachable => !was_suspect,
            _ => true,
        };
        (changed || news).then(|| self.report(reported, changed))
    }

    fn report(&self, evidence: Evidence, changed: bool) -> EvidenceReport {
        EvidenceReport {
            server: self.server.name.clone(),
            evidence,
            suspect: self.detector.is_suspect(),
            changed,
            score: self.detector.score(),
        }
    }
}
