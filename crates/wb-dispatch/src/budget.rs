//! Budgets for retries and mirrored requests, in proportion to the requests.

/// Allows extra requests up to a ratio of the requests, with a small reserve for bursts.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    balance: f64,
}

impl Budget {
    /// Creates a full budget. `ratio` is the number of extra requests per request, `reserve` the
    /// maximum balance.
    pub fn new(ratio: f64, reserve: f64) -> Self {
        Self {
            ratio,
            reserve,
            balance: reserve,
        }
    }

    /// Counts one request.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    /// Spends the budget of one extra request; `false` if the balance is too low.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
