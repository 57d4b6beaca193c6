//! Sequential test of one server.
//!
//! The score is a cumulative sum of log-likelihood ratios, failing half of its requests against
//! failing the usual one in a hundred. One connection that was cut convicts, since sound servers
//! cut none; failures that sound servers have too convict when two come close together.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;
use wb_types::id::Moment;

/// Score at which a server becomes suspect, in nats.
const CONVICT: f64 = 4.0;
/// Score of a suspect: three whole answers clear it. One that fails six in seven of its requests is
/// cleared by chance in one of three hundred trials.
const SUSPECT: f64 = 5.5;
/// Weight of a connection cut, an answer spoilt or no connection, in nats: ln(0.5 / 0.003).
const CUT: f64 = 5.0;
/// Weight of a failure that sound servers have in one of a hundred requests, in nats, less the
/// whole answers that usually lie between.
const FAILED: f64 = 2.4;
/// Weight of a whole answer of a server in use, in nats: ln(0.5 / 0.99).
const GOOD: f64 = 0.7;
/// Weight of a whole answer of a suspect, in nats: ln(0.15 / 0.99), for suspects mostly fail six
/// in seven.
const CLEARS: f64 = 1.9;
/// Weight of the newest request in the share that a server answers.
const SHARE_GAIN: f64 = 0.25;
/// Share that a server is taken to answer once it is suspect, until trials tell.
const SHARE_SUSPECT: f64 = 0.4;
/// Wait before the first trial of a suspect.
const TRIAL: Duration = Duration::from_millis(250);
/// Growth of the wait from trial to trial.
const GROWTH: f64 = 1.6;
/// Longest wait between trials, within the two seconds in which a sound server should get work.
const TRIAL_MAX: Duration = Duration::from_millis(1200);

/// What one request told of its server.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// A whole answer.
    Good,
    /// The server answered that it failed.
    Failed,
    /// No answer within some usual durations.
    Overdue,
    /// The connection was cut, or the answer spoilt.
    Cut,
    /// A connection that had waited unused was reset; sound servers may do so too.
    Stale,
    /// No connection could be opened.
    Unreachable,
    /// A trial of a suspect failed. Convicts nobody; others wait longer before they try.
    TrialFailed,
}

/// One cumulative sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Score {
    sum: f64,
    suspect: bool,
}

impl Score {
    fn add(&mut self, evidence: Evidence) {
        let weight = match evidence {
            Evidence::Good if self.suspect => -CLEARS,
            Evidence::Good => -GOOD,
            Evidence::Failed | Evidence::Overdue | Evidence::Stale => FAILED,
            Evidence::Cut | Evidence::Unreachable => CUT,
            Evidence::TrialFailed => 0.0,
        };
        self.sum = (self.sum + weight).max(0.0);
        if self.suspect && self.sum == 0.0 {
            self.suspect = false;
        }
        if self.sum >= CONVICT {
            self.suspect = true;
        }
        if self.suspect {
            self.sum = self.sum.min(SUSPECT);
        }
    }
}

/// What is known of one server.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// From this instance's own requests.
    own: Score,
    /// From the requests of other instances.
    told: Score,
    good: Option<Moment>,
    /// Whole answers since the last failure.
    streak: u32,
    /// Share of requests that it answers, by the newest ones.
    share: f64,
    failures: u32,
    trial: Moment,
    trying: bool,
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self {
            own: Score::default(),
            told: Score::default(),
            good: None,
            streak: 0,
            share: 1.0,
            failures: 0,
            trial: Moment::ZERO,
            trying: false,
        }
    }
}

impl FailureDetector {
    /// Takes evidence from an own request. Returns whether the server became or ceased to be
    /// suspect.
    pub fn record(&mut self, evidence: Evidence, now: Moment) -> bool {
        let before = self.is_suspect();
        self.own.add(evidence);
        self.count(evidence);
        if evidence == Evidence::Good {
            self.told.add(evidence);
            self.good = Some(now);
        }
        self.schedule(evidence, before, now);
        before != self.is_suspect()
    }

    /// Takes evidence from another instance. It clears no suspicion of this instance's own, since
    /// a path may be cut for one instance alone.
    pub fn record_peer(&mut self, evidence: Evidence, now: Moment) -> bool {
        let before = self.is_suspect();
        self.told.add(match evidence {
            // A path is often cut for one instance alone, and a connection that can't be opened
            // costs no request.
            Evidence::Unreachable => Evidence::Overdue,
            other => other,
        });
        self.count(evidence);
        if evidence == Evidence::Good && !self.own.suspect {
            self.good = Some(now);
        }
        self.schedule(evidence, before, now);
        before != self.is_suspect()
    }

    fn count(&mut self, evidence: Evidence) {
        self.streak = match evidence {
            Evidence::Good => self.streak.saturating_add(1),
            _ => 0,
        };
        let answered = f64::from(u8::from(evidence == Evidence::Good));
        self.share += (answered - self.share) * SHARE_GAIN;
    }

    fn schedule(&mut self, evidence: Evidence, before: bool, now: Moment) {
        if !self.is_suspect() {
            self.failures = 0;
            return;
        }
        if evidence == Evidence::Good {
            self.trial = now;
            return;
        }
        if !before {
            self.share = self.share.min(SHARE_SUSPECT);
        }
        self.failures = if before { self.failures + 1 } else { 0 };
        let wait = TRIAL.mul_f64(GROWTH.powi(self.failures.min(8) as i32));
        self.trial = now + wait.min(TRIAL_MAX);
    }

    /// Whether the server gets trials only.
    pub fn is_suspect(&self) -> bool {
        self.own.suspect || self.told.suspect
    }

    /// Score in nats; the higher, the likelier the server is sick.
    pub fn score(&self) -> f64 {
        self.own.sum.max(self.told.sum)
    }

    /// Time since the last whole answer, if there was one.
    pub fn since_success(&self, now: Moment) -> Option<Duration> {
        self.good.map(|good| now.saturating_sub(good))
    }

    /// Whole answers since the last failure.
    pub fn success_streak(&self) -> u32 {
        self.streak
    }

    /// Share of requests that it answers, by the newest ones.
    pub fn success_rate(&self) -> f64 {
        self.share
    }

    /// Whether a trial is due.
    pub fn is_trial_due(&self, now: Moment) -> bool {
        self.is_suspect() && !self.trying && now >= self.trial
    }

    /// When the next trial is due.
    pub fn next_trial(&self) -> Moment {
        self.trial
    }

    /// Whether a trial is under way.
    pub fn in_trial(&self) -> bool {
        self.trying
    }

    /// Marks a trial as begun or ended.
    pub fn set_in_trial(&mut self, trying: bool) {
        self.trying = trying;
    }
}
