//! The teams that have queued requests, by priority.

use std::collections::HashMap;

use crate::RequestInfo;
use crate::shares;
use crate::shares::Flow;
use crate::shares::Shares;

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
}

/// All lines with queued requests.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    keys: HashMap<(u8, Flow), LineKey>,
    lines: slotmap::SlotMap<LineKey, Line>,
}

impl Lines {
    /// Adds a request to its line.
    pub fn enter(&mut self, request: &RequestInfo, shares: &Shares) -> LineKey {
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
