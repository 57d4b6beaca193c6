//! Retries and copies as a share of real work.

/// Allows extra work as a share of real work, with a small reserve.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    reserve: f64,
    saved: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self {
            share,
            reserve,
            saved: reserve,
        }
    }

    /// Counts one piece of real work.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.reserve);
    }

    /// Takes one piece of extra work, if there is enough saved.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
