//! Which crashes count against a request.

use wb_types::id::RequestKey;

use super::Crash;
use super::Evidence;
use super::Quarantine;

/// How much a request is under suspicion compared to others: first those that were never answered, then
/// those with the most crashes.
type Rank = (bool, usize);

fn rank(evidence: &Evidence) -> Rank {
    (evidence.answered.is_none(), evidence.since_answer().count())
}

impl Quarantine {
    /// Counts the crashes of all requests. Those that another request explains don't count: it is of
    /// a higher rank, and has enough of them to be held.
    pub(super) fn recount(&mut self) {
        let guilty: Vec<(RequestKey, Rank, Vec<Crash>)> = self
            .entries
            .iter()
            .filter(|(_, evidence)| {
                evidence.since_answer().count() >= evidence.required(&self.options)
            })
            .map(|(key, evidence)| (*key, rank(evidence), evidence.crashes.clone()))
            .collect();
        for (key, evidence) in &mut self.entries {
            let own = rank(evidence);
            let is_explained = |crash: &&Crash| {
                let mut others = guilty.iter();
                others.any(|(other, rank, crashes)| {
                    other != key && *rank > own && crashes.iter().any(|one| one.is_same(crash))
                })
            };
            let left = evidence.since_answer().filter(|crash| !is_explained(crash));
            evidence.counted = if evidence.answered.is_some() {
                longest_sequence(left)
            } else {
                left.count()
            };
        }
    }
}

/// Length of the longest sequence of crashes in which each run of the request began after the one before
/// had ended. Servers that fall together have many requests that were answered before; each of them is
/// to blame once.
fn longest_sequence<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_by_key(|crash| crash.ended);
    let mut length = 0;
    let mut last_end = None;
    for crash in crashes {
        if last_end.is_none_or(|end| crash.began >= end) {
            length += 1;
            last_end = Some(crash.ended);
        }
    }
    length
}
