//! What sends told of their servers.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::Balancer;
use super::Entry;
use super::EvidenceReport;
use super::SendOutcome;
use super::ServerKey;
use crate::Evidence;

/// Weight of the newest duration of a route.
const ROUTE_GAIN: f64 = 0.05;
/// Weight of the newest duration at a server.
const PACE_GAIN: f64 = 0.12;
/// Bounds on one duration against the usual, so that a straggler does not mark its server.
const PACE_MAX: f64 = 4.0;
/// Weight of the newest send in the share of sends that fail: about a second at a busy home.
const FAILING_GAIN: f64 = 0.01;
/// Weight of the newest send in the share that a server sheds.
const SHED_GAIN: f64 = 0.2;
/// Time without new work for a server that just shed.
const SHED_REST: Duration = Duration::from_millis(60);

impl Balancer {
    /// Ends a send of a request of a route.
    pub fn finish(
        &mut self,
        key: ServerKey,
        route: &str,
        ending: SendOutcome,
        now: Moment,
    ) -> Option<EvidenceReport> {
        if let SendOutcome::Success(duration) = ending {
            self.learn(key, route, duration);
        }
        let entry = self.servers.get_mut(key)?;
        let failed = match ending {
            SendOutcome::Success(_) => Some(0.0),
            SendOutcome::Failure(_) | SendOutcome::Timeout => Some(1.0),
            _ => None,
        };
        if let Some(failed) = failed.filter(|_| !entry.trust.in_trial()) {
            self.failing += (failed - self.failing) * FAILING_GAIN;
        }
        entry.running = entry.running.saturating_sub(1);
        entry.trust.set_in_trial(false);
        match ending {
            SendOutcome::Success(_) => {
                entry.shed *= 1.0 - SHED_GAIN;
                entry.note(Evidence::Good, now)
            }
            SendOutcome::Failure(evidence) => entry.note(evidence, now),
            SendOutcome::Shed => {
                entry.shed += (1.0 - entry.shed) * SHED_GAIN;
                entry.rest = now + SHED_REST;
                None
            }
            SendOutcome::Misdirected => {
                entry.misplaced = true;
                None
            }
            SendOutcome::Timeout | SendOutcome::Inconclusive => None,
        }
    }

    /// Takes evidence from a request that is still running.
    pub fn record_evidence(
        &mut self,
        key: ServerKey,
        evidence: Evidence,
        now: Moment,
    ) -> Option<EvidenceReport> {
        self.servers.get_mut(key)?.note(evidence, now)
    }

    /// Takes evidence from another instance.
    pub fn record_peer_evidence(
        &mut self,
        server: &ServerName,
        evidence: Evidence,
        now: Moment,
    ) -> Option<EvidenceReport> {
        let entry = self.named(server)?;
        let turned = entry.trust.record_peer(evidence, now);
        turned.then(|| entry.change(evidence, turned))
    }

    /// Takes whole answers that other instances got from servers that are not suspect.
    pub fn record_peer_successes(&mut self, servers: &[ServerName], now: Moment) {
        for server in servers {
            let entry = self.named(server);
            if let Some(entry) = entry.filter(|entry| !entry.trust.is_suspect()) {
                entry.trust.record_peer(Evidence::Good, now);
            }
        }
    }

    fn learn(&mut self, key: ServerKey, route: &str, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.mean += (seconds - self.mean) * ROUTE_GAIN;
        let usual = match self.usual.get_mut(route) {
            Some(usual) => usual,
            None => {
                self.usual.insert(route.into(), seconds);
                return;
            }
        };
        let against = (seconds / *usual).min(PACE_MAX);
        *usual += (seconds - *usual) * ROUTE_GAIN;
        if let Some(entry) = self.servers.get_mut(key) {
            entry.pace += (against - entry.pace) * PACE_GAIN;
        }
    }
}

impl Entry {
    fn note(&mut self, evidence: Evidence, now: Moment) -> Option<EvidenceReport> {
        let was = self.trust.is_suspect();
        let changed = self.trust.record(evidence, now);
        let good = evidence == Evidence::Good;
        let told = if was && !good {
            Evidence::TrialFailed
        } else {
            evidence
        };
        (was || changed || !good).then(|| self.change(told, changed))
    }

    fn change(&self, evidence: Evidence, changed: bool) -> EvidenceReport {
        EvidenceReport {
            server: self.server.name.clone(),
            evidence,
            suspect: self.trust.is_suspect(),
            changed,
            score: self.trust.score(),
        }
    }
}
