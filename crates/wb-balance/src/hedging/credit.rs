//! Hedges that an instance may add.

use std::time::Duration;

use wb_types::id::Moment;

/// Time constant of the requests whose credit is kept: slow answers come in clusters.
const KEPT_TIME: Duration = Duration::from_secs(10);
/// Least credit that is kept, in hedges: a fraction can't be used.
const KEPT_MIN: f64 = 1.0;

/// Credit of hedges, earned by requests. In any span an instance adds at most its share of the requests
/// of that span, and what it had kept before: that of about ten seconds, or one hedge.
#[derive(Clone, Debug)]
pub struct Credit {
    share: f64,
    /// Hedges that may be added.
    balance: f64,
    /// Moving sum of the requests of the last seconds.
    requests: f64,
    updated: Moment,
}

impl Credit {
    /// No credit yet. Each request earns `share` of a hedge.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            balance: 0.0,
            requests: 0.0,
            updated: Moment::ZERO,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.requests = self.requests * (-elapsed / KEPT_TIME.as_secs_f64()).exp() + 1.0;
        self.updated = now;
        let kept = (self.share * self.requests).max(KEPT_MIN);
        self.balance = (self.balance + self.share).min(kept);
    }

    /// Whether a hedge may be added.
    pub fn has_room(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes a hedge from the credit.
    pub fn spend(&mut self) {
        self.balance -= 1.0;
    }
}
