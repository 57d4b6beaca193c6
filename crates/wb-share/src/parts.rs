//! Parts of an amount that several use, such as an allowance in a sliding window, or memory.
//!
//! Whoever has used less than its part may take. Whoever has used more must leave what the others who
//! have asked lately have not yet used of their parts; if nobody else asks, it may take all.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use wb_types::id::Moment;

/// Time after which the sum of unused parts is computed again: it is then wrong by what is taken in
/// that time.
const SUM_INTERVAL: Duration = Duration::from_millis(20);

/// What one has used, and is due.
#[derive(Clone, Copy, Debug)]
struct Part {
    weight: f64,
    used: f64,
    /// When `used` was last reduced.
    faded: Moment,
    asked: Moment,
}

/// The uses of an amount.
#[derive(Clone, Debug)]
pub struct Parts<K> {
    parts: HashMap<K, Part>,
    /// Time in which a use fades away; `None` if uses are given back.
    fade: Option<Duration>,
    /// Time for which a request counts as asking.
    patience: Duration,
    summed: Option<Sums>,
}

/// Sums over those who have asked lately.
#[derive(Clone, Copy, Debug)]
struct Sums {
    at: Moment,
    amount: f64,
    weights: f64,
    /// Unused parts, as a share of the amount.
    unused: f64,
}

impl<K: Clone + Eq + Hash> Parts<K> {
    /// Parts of an amount whose uses fade away, such as those in a sliding window.
    pub fn fading(window: Duration, patience: Duration) -> Self {
        Self::new(Some(window), patience)
    }

    /// Parts of an amount whose uses are given back.
    pub fn returned(patience: Duration) -> Self {
        Self::new(None, patience)
    }

    fn new(fade: Option<Duration>, patience: Duration) -> Self {
        Self {
            parts: HashMap::new(),
            fade,
            patience,
            summed: None,
        }
    }

    /// Records that one wants some of the amount. Call [`Self::refresh`] then if it is due.
    pub fn ask(&mut self, key: &K, weight: f64, now: Moment) {
        if let Some(part) = self.parts.get_mut(key) {
            part.weight = weight;
            part.asked = now;
            return;
        }
        let part = Part {
            weight,
            used: 0.0,
            faded: now,
            asked: now,
        };
        self.parts.insert(key.clone(), part);
        self.summed = None;
    }

    /// Records that one has taken some of the amount.
    pub fn take(&mut self, key: &K, taken: f64, now: Moment) {
        let fade = self.fade;
        if let Some(part) = self.parts.get_mut(key) {
            part.fade(fade, now);
            part.used += taken;
        }
    }

    /// Records that one has given some of the amount back.
    pub fn give_back(&mut self, key: &K, given: f64) {
        if let Some(part) = self.parts.get_mut(key) {
            part.used = (part.used - given).max(0.0);
        }
    }

    /// Share of the amount, 0 to 1, that one has to leave to the others if it takes `more`.
    pub fn reserved(&self, key: &K, more: f64, now: Moment) -> f64 {
        let recent = |sums: &Sums| now < sums.at + self.patience;
        let Some(sums) = self.summed.filter(recent) else {
            return 0.0;
        };
        let Some(part) = self.parts.get(key) else {
            return 0.0;
        };
        let due = sums.amount * part.weight / sums.weights.max(part.weight);
        if part.faded_use(self.fade, now) + more <= due {
            0.0
        } else {
            sums.unused
        }
    }

    /// Whether the sums over all who ask are to be computed again.
    pub fn is_refresh_due(&self, now: Moment) -> bool {
        self.summed.is_none_or(|sums| now >= sums.at + SUM_INTERVAL)
    }

    /// Number of users of which something is remembered.
    pub fn count(&self) -> usize {
        self.parts.len()
    }

    /// Computes the sums over all who ask for an amount, and forgets those who no longer do.
    pub fn refresh(&mut self, amount: f64, now: Moment) {
        let (fade, patience) = (self.fade, self.patience);
        // An idle user is forgotten once so little of its use is left that it changes nothing.
        self.parts.retain(|_, part| {
            let used = part.faded_use(fade, now);
            now < part.asked + patience || used >= 1.0
        });
        let parts = || self.parts.values();
        let asking = || parts().filter(|part| now < part.asked + patience);
        let weights: f64 = asking().map(|part| part.weight).sum();
        let unused = asking().map(|part| {
            let due = part.weight / weights;
            (due - part.faded_use(fade, now) / amount).max(0.0)
        });
        self.summed = Some(Sums {
            at: now,
            amount,
            weights,
            unused: unused.sum(),
        });
    }
}

impl Part {
    fn faded_use(&self, fade: Option<Duration>, now: Moment) -> f64 {
        let Some(window) = fade else {
            return self.used;
        };
        let passed = now.saturating_sub(self.faded).as_secs_f64();
        self.used * (-passed / window.as_secs_f64()).exp()
    }

    fn fade(&mut self, fade: Option<Duration>, now: Moment) {
        self.used = self.faded_use(fade, now);
        self.faded = now;
    }
}
