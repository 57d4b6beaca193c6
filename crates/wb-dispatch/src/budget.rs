//! Retries and copies as a share of real work.

/// Allows extra work as a share of real work, with a small reserve.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    balance: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(ratio: f64, reserve: f64) -> Self {
        Self {
            ratio,
            reserve,
            balance: reserve,
        }
    }

    /// Counts one piece of real work.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    /// Takes one piece of extra work, if there is enough balance.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
