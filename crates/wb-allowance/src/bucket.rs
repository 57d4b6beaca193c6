//! Tokens of one team on one instance.

use std::time::Duration;

use wb_types::id::Moment;

use crate::Limit;

/// Time constant of the demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time for which tokens that were lent or given back stay above the capacity.
const SURPLUS_TIME: Duration = Duration::from_millis(500);
/// Time for which tokens that come with the start of a process may exceed the capacity: its part comes
/// within the duration of a lease.
const CREDIT_TIME: Duration = Duration::from_secs(2);
/// Shortest delay that callers are told.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest delay that callers are told.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Tokens that an instance needs for a request.
pub const REQUEST_COST: f64 = 1.0;

/// Sum and integral of the parts that the instance holds, and the time.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// Sum of the parts.
    pub total: f64,
    /// Integral of the sum over time, in seconds.
    pub integral: f64,
    /// The time.
    pub now: Moment,
}

/// Tokens of one team on one instance.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    /// Integral of the parts up to which the level reaches.
    integral: f64,
    /// Until then the level may exceed the capacity.
    surplus_until: Moment,
    /// Requests per second, at `demand_at`.
    demand: f64,
    demand_at: Moment,
    /// Time until which callers have been told to come back.
    promised: Moment,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(limit: Limit, holding: Holding) -> Self {
        Self {
            limit,
            level: 0.0,
            integral: holding.integral,
            surplus_until: Moment::ZERO,
            demand: 0.0,
            demand_at: holding.now,
            promised: Moment::ZERO,
        }
    }

    /// Tokens, as of the last settlement.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Limit of the team.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Adds what has accrued, and drops what exceeds the capacity of the parts.
    pub fn settle(&mut self, holding: Holding) {
        let accrued = self.limit.rate * (holding.integral - self.integral);
        self.integral = holding.integral;
        let ceiling = self.ceiling(holding);
        if self.level < ceiling {
            self.level = (self.level + accrued).min(ceiling);
        } else if holding.now >= self.surplus_until {
            self.level = ceiling;
        }
    }

    fn ceiling(&self, holding: Holding) -> f64 {
        self.limit.capacity * holding.total
    }

    /// Changes the limit. A lower one cuts the level at once, a higher one leaves it.
    pub fn set_limit(&mut self, limit: Limit, holding: Holding) {
        self.settle(holding);
        self.limit = limit;
        self.level = self.level.min(self.ceiling(holding));
    }

    /// Adds tokens up to the capacity of the parts.
    pub fn credit(&mut self, tokens: f64, holding: Holding) {
        self.settle(holding);
        let ceiling = self.ceiling(holding).max(self.level);
        self.level = (self.level + tokens).min(ceiling);
    }

    /// Adds tokens that come with the start of a process, perhaps before its part does.
    pub fn add_credit(&mut self, tokens: f64, holding: Holding) {
        self.settle(holding);
        self.level += tokens;
        self.surplus_until = self.surplus_until.max(holding.now + CREDIT_TIME);
    }

    /// Adds tokens that were lent. For a moment they may exceed the capacity.
    pub fn add_loan(&mut self, tokens: f64, holding: Holding) {
        self.settle(holding);
        self.level += tokens;
        self.surplus_until = self.surplus_until.max(holding.now + SURPLUS_TIME);
    }

    /// Gives the token of a request back that was not executed.
    pub fn give_back(&mut self, holding: Holding) {
        self.settle(holding);
        if self.level < self.ceiling(holding) {
            self.add_loan(REQUEST_COST, holding);
        }
    }

    /// Takes the token of a request, if there is one.
    pub fn take(&mut self, holding: Holding) -> bool {
        self.settle(holding);
        if self.level < REQUEST_COST {
            return false;
        }
        self.level -= REQUEST_COST;
        true
    }

    /// Takes up to `wanted` tokens for another instance, and keeps `reserve` for requests here.
    pub fn lend(&mut self, wanted: f64, reserve: f64, holding: Holding) -> f64 {
        self.settle(holding);
        let granted = wanted.min(self.level - reserve).max(0.0);
        self.level -= granted;
        granted
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Moment) {
        self.demand = self.demand(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    /// Requests per second.
    pub fn demand(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Time after which a refused request finds a token, after all those that were refused before. The
    /// times that callers are told follow each other at the rate of the parts, so that they don't
    /// return at one moment. An instance that holds less than a home is due names the times of a home,
    /// which its callers use when they return.
    pub fn promise(&mut self, part_due: f64, holding: Holding) -> Duration {
        let rate = self.limit.rate * holding.total.max(part_due);
        let wait = |tokens: f64| {
            let seconds = tokens / rate;
            Duration::try_from_secs_f64(seconds).map_or(RETRY_MAX, |wait| wait.min(RETRY_MAX))
        };
        let room = holding.now + wait((REQUEST_COST - self.level).max(0.0));
        let at = self.promised.max(room);
        let latest = holding.now + RETRY_MAX;
        self.promised = (at + wait(REQUEST_COST)).min(latest);
        at.saturating_sub(holding.now).clamp(RETRY_MIN, RETRY_MAX)
    }
}
