//! Sequential test of one server against the usual.

use std::time::Duration;

use wb_types::id::Moment;

use crate::Options;

/// Time in which old evidence on the usual rate loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Share of bad work above which no server can be told from the others.
const HOPELESS: f64 = 0.4;

/// Amount of recent evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Pieces of bad work.
    pub bad: f64,
    /// Pieces of work.
    pub total: f64,
}

/// Cumulative sum of log-likelihood ratios, sick against usual; never below 0.
#[derive(Clone, Debug, Default)]
pub struct Score {
    sum: f64,
    bad: f64,
    total: f64,
    last: Moment,
}

impl Score {
    /// Takes one piece of evidence. `usual` is the share of bad work at the other servers.
    pub fn record(&mut self, bad: bool, usual: f64, options: &Options, now: Moment) {
        self.fade(now);
        self.total += 1.0;
        if bad {
            self.bad += 1.0;
        }
        self.sum = (self.sum + ratio(bad, usual, options)).max(0.0);
        self.sum = self.sum.min(options.eject_score);
    }

    /// Current score.
    pub fn value(&self) -> f64 {
        self.sum
    }

    /// Share of bad work of late, drawn towards the usual rate while there is little evidence.
    pub fn rate(&self, options: &Options) -> f64 {
        (self.bad + options.usual_rate * 10.0) / (self.total + 10.0)
    }

    /// Recent evidence: pieces of bad work, and of all work.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            bad: self.bad,
            total: self.total,
        }
    }

    /// Drops the sum and keeps what is known of the rate.
    pub fn clear(&mut self) {
        self.sum = 0.0;
    }

    /// Sets the score, e.g. for a server on probation.
    pub fn reset(&mut self, value: f64) {
        *self = Self {
            sum: value,
            last: self.last,
            ..Self::default()
        };
    }

    fn fade(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        let keep = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.bad *= keep;
        self.total *= keep;
        self.last = now;
    }
}

/// Log-likelihood ratio of one piece of evidence.
fn ratio(bad: bool, usual: f64, options: &Options) -> f64 {
    let usual = usual.max(options.usual_rate);
    if usual > HOPELESS {
        return if bad { 0.0 } else { -1.0 };
    }
    let sick = options.sick_rate.max(usual * 2.0).min(0.9);
    if bad {
        (sick / usual).ln()
    } else {
        ((1.0 - sick) / (1.0 - usual)).ln()
    }
}
