//! Sequential test of one server against the usual rate of bad results.

use std::time::Duration;

use wb_types::id::Moment;

use crate::Options;

/// Time in which results lose half their weight in the rate.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Usual rate of bad results above which a failing server can't be distinguished from the
/// others.
const USUAL_RATE_MAX: f64 = 0.4;

/// Weighted counts of recent results.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResultCounts {
    /// Bad results.
    pub bad: f64,
    /// All results.
    pub total: f64,
}

/// Cumulative sum (CUSUM) of log-likelihood ratios, failing against usual, in nats; never below 0.
#[derive(Clone, Debug, Default)]
pub struct Score {
    sum: f64,
    bad: f64,
    total: f64,
    decayed_at: Moment,
}

impl Score {
    /// Records one result. `usual` is the usual rate of bad results at the other servers.
    pub fn record(&mut self, bad: bool, usual: f64, options: &Options, now: Moment) {
        self.decay(now);
        self.total += 1.0;
        if bad {
            self.bad += 1.0;
        }
        self.sum = (self.sum + log_ratio(bad, usual, options)).max(0.0);
        self.sum = self.sum.min(options.eject_score);
    }

    /// Current score, in nats.
    pub fn value(&self) -> f64 {
        self.sum
    }

    /// Recent rate of bad results, drawn towards the usual rate while there are few results.
    pub fn rate(&self, options: &Options) -> f64 {
        (self.bad + options.usual_rate * 10.0) / (self.total + 10.0)
    }

    /// Recent results.
    pub fn result_counts(&self) -> ResultCounts {
        ResultCounts {
            bad: self.bad,
            total: self.total,
        }
    }

    /// Resets the score and keeps the rate.
    pub fn clear(&mut self) {
        self.sum = 0.0;
    }

    /// Sets the score and drops the results, e.g. for a server after its trial.
    pub fn reset(&mut self, value: f64) {
        *self = Self {
            sum: value,
            decayed_at: self.decayed_at,
            ..Self::default()
        };
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let keep = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.bad *= keep;
        self.total *= keep;
        self.decayed_at = now;
    }
}

/// Log-likelihood ratio of one result, in nats.
fn log_ratio(bad: bool, usual: f64, options: &Options) -> f64 {
    let usual = usual.max(options.usual_rate);
    if usual > USUAL_RATE_MAX {
        return if bad { 0.0 } else { -1.0 };
    }
    let failing = options.failing_rate.max(usual * 2.0).min(0.9);
    if bad {
        (failing / usual).ln()
    } else {
        ((1.0 - failing) / (1.0 - usual)).ln()
    }
}
