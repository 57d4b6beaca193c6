//! The teams that have queued requests, by priority.

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::Moment;

use crate::RequestInfo;
use crate::shares;
use crate::shares::Flow;
use crate::shares::Shares;

/// Time after which the rate at which a line is served is known.
const RATE_TIME: Duration = Duration::from_millis(500);
/// Slots after which the rate is known: fewer may have come by chance.
const RATE_SLOTS: f64 = 5.0;
/// Time from which on the rate counts older slots less.
const RATE_TIME_MAX: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Key of a [`Line`].
    pub struct LineKey;
}

/// The queued requests of one team and priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The team.
    pub flow: Flow,
    /// Priority of the requests.
    pub priority: u8,
    /// What the team is due, relative to others.
    pub weight: f64,
    count: usize,
    /// Slots that its requests got since a moment at which it was not empty.
    served: f64,
    served_since: Moment,
}

impl Line {
    /// Records that one of its requests gets a slot.
    fn serve(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.served_since);
        if passed > RATE_TIME_MAX {
            self.served_since += passed / 2;
            self.served /= 2.0;
        }
        self.served += 1.0;
    }

    /// Estimated wait of a request that has `ahead` of its line before it, by the rate at which the
    /// line is served; `None` as long as that is unknown. The next slot counts as if it came now.
    fn wait(&self, ahead: usize, now: Moment) -> Option<Duration> {
        let passed = now.saturating_sub(self.served_since);
        let rate = (self.served + 1.0) / passed.as_secs_f64();
        let is_known = passed >= RATE_TIME && self.served >= RATE_SLOTS;
        is_known.then(|| Duration::from_secs_f64((ahead + 1) as f64 / rate))
    }
}

/// All lines with queued requests.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    keys: HashMap<(u8, Flow), LineKey>,
    lines: slotmap::SlotMap<LineKey, Line>,
}

impl Lines {
    /// Adds a request to its line.
    pub fn enter(&mut self, request: &RequestInfo, shares: &Shares, now: Moment) -> LineKey {
        let flow = shares::flow(request);
        let lines = &mut self.lines;
        let key = *self
            .keys
            .entry((request.priority, flow))
            .or_insert_with_key(|(priority, flow)| {
                lines.insert(Line {
                    flow: flow.clone(),
                    priority: *priority,
                    weight: 0.0,
                    count: 0,
                    served: 0.0,
                    served_since: now,
                })
            });
        let line = &mut lines[key];
        line.weight = shares.weight(request);
        line.count += 1;
        key
    }

    /// Takes a request out of its line, and forgets the line if it is empty.
    pub fn leave(&mut self, key: LineKey) {
        let Some(line) = self.lines.get_mut(key) else {
            return;
        };
        line.count -= 1;
        if line.count == 0
            && let Some(line) = self.lines.remove(key)
        {
            self.keys.remove(&(line.priority, line.flow));
        }
    }

    /// Records that a request of a line gets a slot.
    pub fn serve(&mut self, key: LineKey, now: Moment) {
        if let Some(line) = self.lines.get_mut(key) {
            line.serve(now);
        }
    }

    /// Estimated wait of a new request that has `ahead` of its line before it, by the rate at which
    /// the line is served. Zero if there is no such line, or the rate is unknown.
    pub fn wait(&self, key: Option<LineKey>, ahead: usize, now: Moment) -> Duration {
        let line = key.and_then(|key| self.lines.get(key));
        let wait = line.and_then(|line| line.wait(ahead, now));
        wait.unwrap_or_default()
    }

    /// The line of a request, if it has one.
    pub fn find(&self, request: &RequestInfo) -> Option<LineKey> {
        let key = (request.priority, shares::flow(request));
        self.keys.get(&key).copied()
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (LineKey, &Line)> {
        self.lines.iter()
    }
}
