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
    pub fn set_limits(&mut self, ratio: f64, reserve: f64, window: Duration) {
        self.ratio = ratio;
        self.reserve = reserve;
        self.window = window;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Moment) {
        self.forget(now);
        self.step(now).requests += 1.0;
    }

    /// Takes a further send, if every window that holds this moment has room for it and more than
    /// the part `keep` of its allowance is left.
    pub fn try_spend(&mut self, keep: f64, now: Moment) -> bool {
        self.forget(now);
        self.step(now);
        let full = |begin| self.spent(begin) + 1.0 > self.allowance(begin) * (1.0 - keep);
        if self.open(now).any(full) {
            return false;
        }
        self.step(now).spent += 1.0;
        true
    }

    /// Further sends that are left.
    pub fn remaining(&mut self, now: Moment) -> f64 {
        self.forget(now);
        let open = self.open(now);
        let left = open.map(|begin| self.allowance(begin) - self.spent(begin));
        left.fold(self.reserve, f64::min)
    }

    /// Begins of the windows that hold a moment. Each is taken to be a step longer than it is,
    /// since windows begin within steps too.
    fn open(&self, now: Moment) -> impl Iterator<Item = Moment> {
        let longest = self.window + self.window / STEPS;
        let begins = self.steps.iter().map(|step| step.begin);
        begins.filter(move |begin| *begin + longest > now)
    }

    /// Further sends since a moment.
    fn spent(&self, begin: Moment) -> f64 {
        let steps = self.steps.iter().filter(|step| step.begin >= begin);
        steps.map(|step| step.spent).sum()
    }

    /// Further sends that any window allows that begins in the step that begins at a moment.
    fn allowance(&self, begin: Moment) -> f64 {
        let end = begin + self.window / STEPS;
        self.allowance_from(begin).min(self.allowance_from(end))
    }

    /// Further sends that the window from a moment on allows: its users count the requests of
    /// that window, of the one before it, or of the one half a window before it, whichever are
    /// most.
    fn allowance_from(&self, begin: Moment) -> f64 {
        let before = begin.saturating_sub(self.window);
        let half = begin.saturating_sub(self.window / 2);
        let most = [begin, before, half].map(|from| self.requests(from));
        self.ratio * most.into_iter().fold(0.0, f64::max) + self.reserve
    }

    /// Requests in the window from a moment on.
    fn requests(&self, from: Moment) -> f64 {
        let within = |step: &&Step| step.begin >= from && step.begin < from + self.window;
        self.steps
            .iter()
            .filter(within)
            .map(|step| step.requests)
            .sum()
    }

    fn forget(&mut self, now: Moment) {
        let old = now.saturating_sub(self.window * 2);
        while self.steps.front().is_some_and(|step| step.begin < old) {
            self.steps.pop_front();
        }
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
