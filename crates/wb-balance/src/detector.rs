//! Failure detector of one server, and the schedule of its trials.
//!
//! The score is a cumulative sum (CUSUM) of log-likelihood ratios: failing half of all requests
//! against failing the usual one in a hundred. One cut connection makes a server suspect, since
//! healthy servers cut none. Failures that healthy servers also have make it suspect when two come
//! close together.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;
use wb_types::id::Moment;

/// Score at which a server becomes suspect, in nats.
const SUSPECT_SCORE: f64 = 4.0;
/// Highest score of a suspect, in nats: three complete responses in a row clear it. A server that
/// fails six in seven of its requests is cleared by chance in one of three hundred trials.
const SCORE_MAX: f64 = 5.5;
/// Weight of a cut connection, a corrupt response or a failed connect, in nats: ln(0.5 / 0.003).
const CUT_WEIGHT: f64 = 5.0;
/// Weight of a failure that healthy servers have in one of a hundred requests, in nats, less the
/// complete responses that usually lie between two of them.
const FAILED_WEIGHT: f64 = 2.4;
/// Weight of a complete response of a server that is not suspect, in nats: ln(0.5 / 0.99).
const GOOD_WEIGHT: f64 = 0.7;
/// Weight of a complete response of a suspect, in nats: ln(0.15 / 0.99), since suspects mostly fail
/// six in seven requests.
const CLEAR_WEIGHT: f64 = 1.9;
/// Weight of the newest request in the success rate.
const SUCCESS_RATE_ALPHA: f64 = 0.25;
/// Upper bound of the success rate when a server becomes suspect, until trials show more.
const SUSPECT_SUCCESS_RATE: f64 = 0.4;
/// Delay before the first trial of a suspect.
const TRIAL_DELAY: Duration = Duration::from_millis(250);
/// Growth of the delay with each failed trial.
const TRIAL_DELAY_GROWTH: f64 = 1.6;
/// Longest delay between trials, within the two seconds in which a healthy server should get a
/// request.
const TRIAL_DELAY_MAX: Duration = Duration::from_millis(1200);
/// Time constant of the decay of a server's score: a suspect without trials is cleared after some
/// ten seconds, when nine in ten have recovered.
const DECAY_TIME: Duration = Duration::from_secs(6);
/// Success rate that is assumed of a server that decay has cleared.
const CLEARED_SUCCESS_RATE: f64 = 0.95;
/// Time for which a response proves more than what a peer without a path to the server has reported.
const PROVEN_TIME: Duration = Duration::from_secs(2);
/// Score below which decay clears a suspect, in nats.
const CLEARED_SCORE: f64 = 1.0;
/// Longest time without evidence until a suspect may get a request that can't be sent again, after
/// failed trials.
const RETURN_DELAY_MAX: Duration = Duration::from_secs(8);

/// Complete responses since a server's last failure for each further request that an instance may
/// have in progress there: as many as clear a suspect.
const RAMP_STREAK: u32 = 3;

/// What one request showed about its server.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// A complete response.
    Good,
    /// A response that reports a failure.
    Failed,
    /// No response within a multiple of the usual duration.
    Overdue,
    /// The connection was cut, or the response was corrupt.
    Cut,
    /// A connection was reset at its first use after idling; healthy servers may do so too.
    Stale,
    /// No connection could be opened.
    Unreachable,
    /// A trial of a suspect failed. It makes no server suspect, but delays the trials of other
    /// instances.
    TrialFailed,
    /// A complete response to a request that was overdue: the server is slow, but did not fail.
    Late,
}

impl Evidence {
    /// Whether the server gave a complete response.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Good | Self::Late)
    }

    /// Whether a request failed.
    fn is_failure(self) -> bool {
        !self.is_response() && self != Self::Overdue
    }
}

/// Cumulative sum of one source of evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Score {
    sum: f64,
    suspect: bool,
}

impl Score {
    fn add(&mut self, evidence: Evidence) {
        if evidence == Evidence::Late {
            self.retract(FAILED_WEIGHT);
            return;
        }
        let weight = match evidence {
            Evidence::Good if self.suspect => -CLEAR_WEIGHT,
            Evidence::Good => -GOOD_WEIGHT,
            Evidence::Failed | Evidence::Overdue | Evidence::Stale => FAILED_WEIGHT,
            Evidence::Cut | Evidence::Unreachable => CUT_WEIGHT,
            // The server is still failing, so its score has not decayed.
            Evidence::TrialFailed if self.suspect => (SUSPECT_SCORE - self.sum).max(0.0),
            Evidence::TrialFailed | Evidence::Late => 0.0,
        };
        self.sum = (self.sum + weight).max(0.0);
        if self.suspect && self.sum == 0.0 {
            self.suspect = false;
        }
        if self.sum >= SUSPECT_SCORE {
            self.suspect = true;
        }
        if self.suspect {
            self.sum = self.sum.min(SCORE_MAX);
        }
    }

    /// Takes back evidence that has proved wrong.
    fn retract(&mut self, weight: f64) {
        self.sum = (self.sum - weight).max(0.0);
        if self.sum < SUSPECT_SCORE - weight {
            self.suspect = false;
        }
    }

    fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        if self.suspect && self.sum < CLEARED_SCORE {
            *self = Self::default();
        }
    }
}

/// Failure detector of one server.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// Evidence from this instance's own requests.
    own: Score,
    /// Evidence that peers reported.
    peers: Score,
    last_success: Option<Moment>,
    /// When the newest evidence was recorded, own or reported.
    last_evidence: Moment,
    /// When the newest failure was recorded, own or reported; requests that are merely overdue don't
    /// count.
    last_failure: Option<Moment>,
    /// Complete responses since the last failure.
    success_streak: u32,
    /// Moving average of the share of requests that succeed.
    success_rate: f64,
    failed_trials: u32,
    next_trial: Moment,
    in_trial: bool,
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self {
            own: Score::default(),
            peers: Score::default(),
            last_success: None,
            last_evidence: Moment::ZERO,
            last_failure: None,
            success_streak: 0,
            success_rate: 1.0,
            failed_trials: 0,
            next_trial: Moment::ZERO,
            in_trial: false,
        }
    }
}

impl FailureDetector {
    /// Records evidence from one of this instance's requests. Returns whether the server became
    /// suspect or was cleared.
    pub fn record(&mut self, evidence: Evidence, now: Moment) -> bool {
        let was_suspect = self.is_suspect();
        self.own.add(evidence);
        self.last_evidence = now;
        if evidence.is_failure() {
            self.last_failure = Some(now);
        }
        self.update_rates(evidence);
        if evidence.is_response() {
            self.peers.add(evidence);
            self.last_success = Some(now);
        }
        self.schedule_trial(evidence, was_suspect, now);
        was_suspect != self.is_suspect()
    }

    /// Records evidence that a peer reported. Returns whether the server became suspect or was
    /// cleared. A peer's successes don't clear a suspicion from own evidence, since the path may be
    /// cut for this instance alone.
    pub fn record_peer(&mut self, evidence: Evidence, now: Moment) -> bool {
        let was_suspect = self.is_suspect();
        self.peers.add(match evidence {
            // Counts less than an own failure to connect: a path is often cut for one instance
            // alone, and a failed connect costs no request.
            Evidence::Unreachable => Evidence::Overdue,
            other => other,
        });
        self.last_evidence = now;
        if evidence.is_failure() {
            self.last_failure = Some(now);
        }
        self.update_rates(evidence);
        if evidence.is_response() && !self.own.suspect {
            self.last_success = Some(now);
        }
        self.schedule_trial(evidence, was_suspect, now);
        was_suspect != self.is_suspect()
    }

    /// Lets the evidence decay, `passed` after the last call: failing servers mostly recover within
    /// seconds, and a server that looks worse than others gets no requests that would show it.
    /// Returns whether the server is no longer suspect.
    pub fn decay(&mut self, passed: Duration) -> bool {
        if self.in_trial {
            return false;
        }
        let was_suspect = self.is_suspect();
        let factor = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.own.decay(factor);
        self.peers.decay(factor);
        self.success_rate = 1.0 - (1.0 - self.success_rate) * factor;
        let cleared = was_suspect && !self.is_suspect();
        if cleared {
            self.success_rate = self.success_rate.max(CLEARED_SUCCESS_RATE);
        }
        cleared
    }

    /// Takes back the evidence of peers, if the server has responded to this instance lately.
    pub fn retract_peer_evidence(&mut self, now: Moment) {
        let age = self.since_success(now);
        if self.own.suspect || age.is_none_or(|age| age > PROVEN_TIME) {
            return;
        }
        self.peers = Score::default();
        self.success_rate = self.success_rate.max(CLEARED_SUCCESS_RATE);
    }

    /// Takes back all evidence.
    pub fn retract_evidence(&mut self) {
        *self = Self {
            last_success: self.last_success,
            in_trial: self.in_trial,
            ..Self::default()
        };
    }

    fn update_rates(&mut self, evidence: Evidence) {
        let response = evidence.is_response();
        self.success_streak = if response {
            self.success_streak.saturating_add(1)
        } else {
            0
        };
        let answered = f64::from(u8::from(response));
        self.success_rate += (answered - self.success_rate) * SUCCESS_RATE_ALPHA;
    }

    fn schedule_trial(&mut self, evidence: Evidence, was_suspect: bool, now: Moment) {
        if !self.is_suspect() {
            self.failed_trials = 0;
            return;
        }
        if evidence.is_response() {
            self.next_trial = now;
            return;
        }
        if !was_suspect {
            self.success_rate = self.success_rate.min(SUSPECT_SUCCESS_RATE);
        }
        self.failed_trials = if was_suspect {
            self.failed_trials + 1
        } else {
            0
        };
        let delay = TRIAL_DELAY.mul_f64(TRIAL_DELAY_GROWTH.powi(self.failed_trials.min(8) as i32));
        self.next_trial = now + delay.min(TRIAL_DELAY_MAX);
    }

    /// Whether the server is suspect and gets trial requests only.
    pub fn is_suspect(&self) -> bool {
        self.own.suspect || self.peers.suspect
    }

    /// Whether a complete response to a request that was sent at `sent` says nothing of requests that
    /// are sent now: the server is suspect, and began to fail after it had received that request.
    pub fn is_outdated(&self, sent: Moment) -> bool {
        self.is_suspect() && self.last_failure.is_some_and(|failure| sent < failure)
    }

    /// Most requests that this instance may have in progress at the server. When a few responses clear
    /// a server, the queues of all instances would else go there at once, and it may still fail.
    pub fn running_max(&self) -> u32 {
        match self.last_failure {
            Some(_) => 1 + self.success_streak / RAMP_STREAK,
            None => u32::MAX,
        }
    }

    /// Failure score, in nats; a higher one means a failing server is likelier.
    pub fn score(&self) -> f64 {
        self.own.sum.max(self.peers.sum)
    }

    /// Time since the last complete response, if there was one.
    pub fn since_success(&self, now: Moment) -> Option<Duration> {
        self.last_success
            .map(|last_success| now.saturating_sub(last_success))
    }

    /// Complete responses since the last failure.
    pub fn success_streak(&self) -> u32 {
        self.success_streak
    }

    /// Moving average of the share of requests that succeed.
    pub fn success_rate(&self) -> f64 {
        self.success_rate
    }

    /// Whether a trial is due and none is in flight.
    pub fn is_trial_due(&self, now: Moment) -> bool {
        self.is_suspect() && !self.in_trial && now >= self.next_trial
    }

    /// Time at which the next trial is due.
    pub fn next_trial(&self) -> Moment {
        self.next_trial
    }

    /// Whether a trial is in flight.
    pub fn in_trial(&self) -> bool {
        self.in_trial
    }

    /// Whether a suspect may get a request that can't be sent again: its last request succeeded, or
    /// there was no evidence for `silence`, which grows with each failed trial.
    pub fn may_return(&self, silence: Duration, now: Moment) -> bool {
        let growth = TRIAL_DELAY_GROWTH.powi(self.failed_trials.min(8) as i32);
        let delay = silence.mul_f64(growth).min(RETURN_DELAY_MAX);
        let silent = now.saturating_sub(self.last_evidence) >= delay;
        self.is_suspect() && !self.in_trial && (silent || self.success_streak > 0)
    }

    /// When the newest evidence was recorded.
    pub fn last_evidence(&self) -> Moment {
        self.last_evidence
    }

    /// Marks a trial as started or ended.
    pub fn set_in_trial(&mut self, in_trial: bool) {
        self.in_trial = in_trial;
    }
}
