//! Exchange of evidence with other instances.

use std::cmp::Reverse;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::RequestKey;

use super::Change;
use super::Evidence;
use super::Quarantine;
use crate::report::Report;
use crate::report::ReportedCrash;

impl Quarantine {
    /// Report on one request; `None` if nothing is known of it.
    pub fn report(&self, key: RequestKey, now: Moment) -> Option<Report> {
        let evidence = self.entries.get(&key)?;
        Some(build(key, evidence, self.clock(now)))
    }

    /// Reports on at most `max` requests of which something was learnt within `newest`, or on any if
    /// it is `None`: first those with the most crashes.
    pub fn reports(&self, newest: Option<Duration>, max: usize, now: Moment) -> Vec<Report> {
        let now = self.clock(now);
        let is_new = |evidence: &Evidence| {
            newest.is_none_or(|newest| now.saturating_sub(evidence.changed) <= newest)
        };
        let entries = self.entries.iter();
        let mut found: Vec<_> = entries.filter(|(_, evidence)| is_new(evidence)).collect();
        found.sort_by_key(|(_, evidence)| Reverse((evidence.counted, evidence.last_crash())));
        let found = found.into_iter().take(max);
        found
            .map(|(key, evidence)| build(*key, evidence, now))
            .collect()
    }

    /// Adds what another instance reports. Returns the change; `None` if all of it was known.
    pub fn merge(&mut self, report: &Report, now: Moment) -> Option<Change> {
        let key = report.key;
        if report.crashes.is_empty() && !self.entries.contains_key(&key) {
            return None;
        }
        let before = self.standing(key, now);
        let clock = self.clock(now);
        let evidence = self.evidence(key);
        let mut is_news = false;
        for crash in &report.crashes {
            is_news |= evidence.add(crash.crash(clock), clock);
        }
        if let Some(age) = report.answered_age {
            is_news |= evidence.add_answer(clock.saturating_sub(age), clock);
        }
        if !is_news {
            return None;
        }
        self.settle(key);
        let after = self.standing(key, now);
        Some(Change { key, before, after })
    }
}

fn build(key: RequestKey, evidence: &Evidence, now: Moment) -> Report {
    let crashes = evidence.crashes.iter();
    Report {
        key,
        crashes: crashes
            .map(|crash| ReportedCrash::new(crash, now))
            .collect(),
        answered_age: evidence
            .answered
            .map(|answered| now.saturating_sub(answered)),
    }
}
