//! Bound on requests that are sent to a second server.

use std::collections::VecDeque;
use std::time::Duration;

use wb_types::id::Moment;

/// Steps into which a window is cut.
const STEPS: u32 = 20;

/// Counts of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    begin: Moment,
    requests: f64,
    spent: f64,
}

/// Sends beyond the first of each request, as a share of requests in a sliding window, with a
/// reserve. An instance has its part of the fleet's reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    reserve: f64,
    window: Duration,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// A budget without history.
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        Self {
            ratio,
            reserve,
            window,
            steps: VecDeque::new(),
        }
    }

    /// Changes the bounds.
    pub fn set(&mut self, ratio: f64, reserve: f64, window: Duration) {
        self.ratio = ratio;
        self.reserve = reserve;
        self.window = window;
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Moment) {
        self.step(now).requests += 1.0;
    }

    /// Takes a further send, if the window has room for it and more than `keep` of the allowance
    /// is left.
    pub fn spend(&mut self, keep: f64, now: Moment) -> bool {
        let spent: f64 = self.steps(now).map(|step| step.spent).sum();
        let allowed = self.allowance(now);
        if spent + 1.0 > allowed * (1.0 - keep) {
            return false;
        }
        self.step(now).spent += 1.0;
        true
    }

    /// Counts a further send that was made anyway.
    pub fn force(&mut self, now: Moment) {
        self.step(now).spent += 1.0;
    }

    /// Further sends that are left.
    pub fn left(&mut self, now: Moment) -> f64 {
        let spent: f64 = self.steps(now).map(|step| step.spent).sum();
        self.allowance(now) - spent
    }

    fn allowance(&mut self, now: Moment) -> f64 {
        let requests: f64 = self.steps(now).map(|step| step.requests).sum();
        self.ratio * requests + self.reserve
    }

    fn steps(&mut self, now: Moment) -> impl Iterator<Item = &Step> {
        let begin = now.saturating_sub(self.window);
        while self.steps.front().is_some_and(|step| step.begin < begin) {
            self.steps.pop_front();
        }
        self.steps.iter()
    }

    fn step(&mut self, now: Moment) -> &mut Step {
        let length = self.window / STEPS;
        let fresh = |step: &Step| now < step.begin + length;
        if !self.steps.back().is_some_and(fresh) {
            self.steps.push_back(Step {
                begin: now,
                ..Step::default()
            });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
