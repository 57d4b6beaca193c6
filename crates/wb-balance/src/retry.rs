//! Budget of sends beyond the first of each request: retries and hedged sends.

use std::collections::VecDeque;
use std::time::Duration;

use wb_types::id::Moment;

/// Buckets in one window.
const BUCKETS: u32 = 20;

/// Counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Moment,
    requests: f64,
    sends: f64,
}

/// Limits retries and hedged sends to a share of the requests in a sliding window, plus a reserve
/// in sends. Each instance has its part of the fleet's reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    reserve: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget without history.
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        Self {
            ratio,
            reserve,
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, ratio: f64, reserve: f64, window: Duration) {
        self.ratio = ratio;
        self.reserve = reserve;
        self.window = window;
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.drop_old(now);
        self.current_bucket(now).requests += 1.0;
    }

    /// Takes one further send from the budget. Fails unless every window that holds `now` has room
    /// for it and keeps more than the share `reserved` of its allowance.
    pub fn try_spend(&mut self, reserved: f64, now: Moment) -> bool {
        self.drop_old(now);
        self.current_bucket(now);
        let room = self.has_room(reserved, now);
        if room {
            self.current_bucket(now).sends += 1.0;
        }
        room
    }

    /// Whether a further send would fit into the budget now, as for [`Self::try_spend`].
    pub fn has_room(&self, reserved: f64, now: Moment) -> bool {
        let full = |start| self.sends_since(start) + 1.0 > self.allowance(start) * (1.0 - reserved);
        !self.windows_holding(now).any(full)
    }

    /// Further sends that are allowed in the tightest window that holds `now`.
    pub fn total(&self, now: Moment) -> f64 {
        let windows = self.windows_holding(now);
        let allowances = windows.map(|start| self.allowance(start));
        allowances.reduce(f64::min).unwrap_or(self.reserve)
    }

    /// Further sends that are allowed for each request.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Length of a window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Further sends that are left in the fullest window that holds `now`.
    pub fn remaining(&mut self, now: Moment) -> f64 {
        self.drop_old(now);
        let windows = self.windows_holding(now);
        let left = windows.map(|start| self.allowance(start) - self.sends_since(start));
        left.fold(self.reserve, f64::min)
    }

    /// Starts of the windows that hold a moment. Each window counts as one bucket longer than it
    /// is, since a window may also start within a bucket.
    fn windows_holding(&self, now: Moment) -> impl Iterator<Item = Moment> {
        let longest = self.window + self.window / BUCKETS;
        let starts = self.buckets.iter().map(|bucket| bucket.start);
        starts.filter(move |start| *start + longest > now)
    }

    /// Further sends since a moment.
    fn sends_since(&self, start: Moment) -> f64 {
        let buckets = self.buckets.iter().filter(|bucket| bucket.start >= start);
        buckets.map(|bucket| bucket.sends).sum()
    }

    /// Further sends that are allowed in any window starting in the bucket that starts at a moment.
    fn allowance(&self, start: Moment) -> f64 {
        let end = start + self.window / BUCKETS;
        self.allowance_from(start).min(self.allowance_from(end))
    }

    /// Further sends that are allowed in the window from a moment on. The limit is a share of the
    /// requests of that window, of the one before it, or of the one half a window earlier,
    /// whichever are most: the users of the fleet check it that way.
    fn allowance_from(&self, start: Moment) -> f64 {
        let before = start.saturating_sub(self.window);
        let half = start.saturating_sub(self.window / 2);
        let most = [start, before, half].map(|from| self.requests(from));
        self.ratio * most.into_iter().fold(0.0, f64::max) + self.reserve
    }

    /// Requests in the window from a moment on.
    fn requests(&self, from: Moment) -> f64 {
        let within = |bucket: &&Bucket| bucket.start >= from && bucket.start < from + self.window;
        self.buckets
            .iter()
            .filter(within)
            .map(|bucket| bucket.requests)
            .sum()
    }

    fn drop_old(&mut self, now: Moment) {
        let old = now.saturating_sub(self.window * 2);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start < old)
        {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: Moment) -> &mut Bucket {
        let length = self.window / BUCKETS;
        let current = |bucket: &Bucket| now < bucket.start + length;
        if !self.buckets.back().is_some_and(current) {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
