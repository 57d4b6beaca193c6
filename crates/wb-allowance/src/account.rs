//! Tokens of one team, and the questions for more of them.

use std::time::Duration;

use wb_types::id::Moment;

use crate::Limit;
use crate::bucket::Bucket;
use crate::bucket::Holding;
use crate::bucket::REQUEST_COST;

/// Time that a request waits for the response to a question: a few round trips between instances.
pub const WAIT_TIME: Duration = Duration::from_millis(40);
/// Demand that is borrowed for, as a time. A lender keeps as much for itself.
const LOAN_TIME: Duration = Duration::from_millis(250);
/// Demand for which tokens should be there, as a time: if there are fewer, more are asked for.
const LOW_TIME: Duration = Duration::from_millis(100);
/// Demand from which tokens are asked for ahead, in requests per second: rarer requests may wait for
/// a response each.
const AHEAD_DEMAND: f64 = 4.0;
/// Shortest time between questions that no request waits for, and the first pause after questions
/// that brought nothing.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause after questions that brought nothing.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Delay that callers are told by an instance that doesn't know: the others are reachable again, or
/// another instance is a home, within a few of these.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);
/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Whether the team is known to be over its allowance. Otherwise this instance is cut off from the
    /// others, or has just started.
    pub is_over: bool,
    /// Tokens here.
    pub level: f64,
    /// Sum of the parts that this instance holds.
    pub part: f64,
    /// When there will be room for this request.
    pub retry_after: Duration,
}

/// What a decision depends on beside the account.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances {
    /// Parts that the instance holds, and the time.
    pub holding: Holding,
    /// Number of questions until all other homes have been asked.
    pub rounds: u32,
    /// Time until which the request may wait.
    pub until: Moment,
    /// Whether tokens that lack here lack everywhere.
    pub is_over: bool,
    /// Whether the instance has just started, and leases are on their way.
    pub is_starting: bool,
    /// Sum of the parts that a home holds if all hold equally many.
    pub part_due: f64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// It has a token.
    Admit,
    /// It has a token, and more should be asked for before they run out.
    AdmitAndAsk,
    /// Others have to be asked; it waits for their response.
    Ask,
    /// It waits for the response to a question that has been sent.
    Wait,
    /// It gets no token.
    Refuse(Refusal),
}

/// A question that has not been answered by all.
#[derive(Clone, Copy, Debug)]
struct Asked {
    serial: u64,
    at: Moment,
}

/// Tokens of one team, and the questions for more of them.
#[derive(Clone, Debug)]
pub struct Account {
    /// The tokens.
    pub bucket: Bucket,
    asked: Option<Asked>,
    /// When the last question was sent.
    asked_at: Moment,
    /// Earliest time of the next question.
    next: Moment,
    pause: Duration,
    /// Questions in a row that brought nothing.
    fruitless: u32,
    /// Whether the last question has brought tokens.
    gained: bool,
    /// Requests that found no token since the last question.
    short: u32,
}

impl Account {
    /// An account without tokens.
    pub fn new(limit: Limit, holding: Holding) -> Self {
        Self {
            bucket: Bucket::new(limit, holding),
            asked: None,
            asked_at: Moment::ZERO,
            next: Moment::ZERO,
            pause: PAUSE_MIN,
            fruitless: 0,
            gained: false,
            short: 0,
        }
    }

    /// Decides on a request.
    pub fn decide(&mut self, circumstances: Circumstances) -> Step {
        let Circumstances {
            holding,
            rounds,
            until,
            is_over,
            is_starting,
            part_due,
        } = circumstances;
        let now = holding.now;
        let asking = self.is_asking(rounds, now);
        let may_ask = !asking && rounds > 0 && now >= self.next;
        if self.bucket.take(holding) {
            let ahead = may_ask && self.is_low(now);
            return if ahead {
                Step::AdmitAndAsk
            } else {
                Step::Admit
            };
        }
        self.short += 1;
        match (asking, may_ask) {
            (true, _) if now < until => Step::Wait,
            (_, true) if now < until => Step::Ask,
            _ if is_starting && now < until => Step::Wait,
            _ => Step::Refuse(self.refuse(is_over, part_due, holding)),
        }
    }

    fn refuse(&mut self, is_over: bool, part_due: f64, holding: Holding) -> Refusal {
        let retry_after = if is_over {
            self.bucket.promise(part_due, holding)
        } else {
            UNKNOWN_RETRY
        };
        Refusal {
            is_over,
            level: self.bucket.level(),
            part: holding.total,
            retry_after,
        }
    }

    /// Whether a question is open, for which requests may wait.
    fn is_asking(&mut self, rounds: u32, now: Moment) -> bool {
        if let Some(asked) = self.asked
            && now.saturating_sub(asked.at) >= WAIT_TIME
        {
            self.end_question(rounds, now);
        }
        self.asked.is_some()
    }

    /// Whether tokens should be asked for before they run out.
    fn is_low(&self, now: Moment) -> bool {
        let demand = self.bucket.demand(now);
        let low = demand * LOW_TIME.as_secs_f64() + REQUEST_COST;
        let paused = now < self.asked_at + PAUSE_MIN;
        demand >= AHEAD_DEMAND && self.bucket.level() < low && !paused
    }

    /// Tokens to ask for.
    pub fn needed(&self, now: Moment) -> f64 {
        let rate = self.bucket.limit().rate;
        let demand = self.bucket.demand(now).min(rate) * LOAN_TIME.as_secs_f64();
        let waiting = f64::from(self.short).min(rate.max(REQUEST_COST));
        let wanted = demand.max(waiting).max(REQUEST_COST);
        (wanted - self.bucket.level()).max(0.0)
    }

    /// Notes that a question has been sent.
    pub fn begin_question(&mut self, serial: u64, now: Moment) {
        self.asked = Some(Asked { serial, at: now });
        self.asked_at = now;
        self.gained = false;
        self.short = 0;
    }

    /// Takes tokens for another instance, as far as they are not needed here soon. Rare requests need
    /// none kept: their instance can ask for one as well.
    pub fn lend(&mut self, wanted: f64, holding: Holding) -> f64 {
        let demand = self.bucket.demand(holding.now);
        let frequent = demand >= AHEAD_DEMAND;
        let reserve = if frequent {
            demand * LOAN_TIME.as_secs_f64()
        } else {
            0.0
        };
        self.bucket.lend(wanted, reserve, holding)
    }

    /// Adds tokens that a response has brought.
    pub fn add_loan(&mut self, tokens: f64, holding: Holding) {
        if tokens > 0.0 {
            self.bucket.add_loan(tokens, holding);
            self.gained = true;
        }
    }

    /// Notes that all have answered a question.
    pub fn complete(&mut self, serial: u64, rounds: u32, now: Moment) {
        if self.asked.is_some_and(|asked| asked.serial == serial) {
            self.end_question(rounds, now);
        }
    }

    /// Ends a question. After as many as ask all homes once without a token, the next one has to wait.
    fn end_question(&mut self, rounds: u32, now: Moment) {
        self.asked = None;
        if self.gained {
            self.fruitless = 0;
            self.pause = PAUSE_MIN;
            return;
        }
        self.fruitless += 1;
        if self.fruitless >= rounds {
            self.fruitless = 0;
            self.next = now + self.pause;
            self.pause = (self.pause * 2).min(PAUSE_MAX);
        }
    }
}
