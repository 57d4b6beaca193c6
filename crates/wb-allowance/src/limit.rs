//! Rate and capacity that follow from an allowance and the platform's tolerance.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_team::Allowance;

/// By how much the requests of a team in a window may exceed its allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the allowance in a window.
    pub overshoot: f64,
    /// Requests in a window on top of the fraction.
    pub extra: f64,
}

/// Fraction of the tolerated excess by which buckets are larger than the burst. The rest covers
/// tokens that are lent, given back or given at a restart.
const CAPACITY_SHARE: f64 = 0.5;
/// Fraction of the tolerated excess that a restarted fleet starts with.
const START_SHARE: f64 = 0.33;

/// Limit of a team over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens in all buckets together.
    pub capacity: f64,
    /// Tokens with which a restarted fleet starts.
    pub start: f64,
}

impl Limit {
    /// The limit that keeps to an allowance within the tolerance.
    pub fn new(allowance: Allowance, tolerance: Tolerance) -> Self {
        let window = tolerance.window.as_secs_f64();
        let allowed = allowance.rate * window + allowance.burst;
        let excess = allowed * tolerance.overshoot + tolerance.extra;
        Self {
            rate: allowance.rate,
            capacity: allowance.burst + excess * CAPACITY_SHARE,
            start: excess * START_SHARE,
        }
    }
}
