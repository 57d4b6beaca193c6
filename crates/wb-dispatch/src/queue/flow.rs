//! The work of one row and length that waits.

use std::collections::VecDeque;
use std::time::Duration;

use wb_types::id::CallerName;
use wb_types::id::Moment;

use crate::dispatch::RequestKey;

/// One piece of work in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// The work.
    pub key: RequestKey,
    /// When it was queued.
    pub since: Moment,
    /// When it is no longer worth running.
    pub deadline: Moment,
}

/// The work of one caller.
#[derive(Clone, Debug)]
struct Line {
    caller: CallerName,
    work: VecDeque<QueueEntry>,
}

/// The work of one row and length, by caller.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    pub(super) tag: f64,
    lines: VecDeque<Line>,
    count: usize,
}

impl Flow {
    pub(super) fn count(&self) -> usize {
        self.count
    }

    pub(super) fn push(&mut self, caller: CallerName, waiting: QueueEntry) {
        self.count += 1;
        let line = self.lines.iter_mut().find(|line| line.caller == caller);
        if let Some(line) = line {
            line.work.push_back(waiting);
            return;
        }
        self.lines.push_back(Line {
            caller,
            work: VecDeque::from([waiting]),
        });
    }

    /// Puts work back that was taken last.
    pub(super) fn push_front(&mut self, caller: CallerName, waiting: QueueEntry) {
        self.count += 1;
        let found = self.lines.iter().position(|line| line.caller == caller);
        let mut line = match found.and_then(|index| self.lines.remove(index)) {
            Some(line) => line,
            None => Line {
                caller,
                work: VecDeque::new(),
            },
        };
        line.work.push_front(waiting);
        self.lines.push_front(line);
    }

    /// Takes the next piece of work: of the caller whose turn it is, the oldest, or the newest
    /// while the oldest has waited for more than `stale`.
    pub(super) fn pop(&mut self, stale: Duration, now: Moment) -> Option<QueueEntry> {
        let mut line = self.lines.pop_front()?;
        let old = line.work.front()?.since;
        let late = now.saturating_sub(old) > stale;
        let waiting = if late {
            line.work.pop_back()
        } else {
            line.work.pop_front()
        };
        if !line.work.is_empty() {
            self.lines.push_back(line);
        }
        self.count -= 1;
        waiting
    }

    /// Takes out all work that has waited for longer than `wait` or is past its deadline.
    pub(super) fn expire(&mut self, wait: Duration, now: Moment, out: &mut Vec<QueueEntry>) {
        let before = out.len();
        for line in &mut self.lines {
            line.work.retain(|waiting| {
                let over = now.saturating_sub(waiting.since) >= wait || waiting.deadline <= now;
                if over {
                    out.push(*waiting);
                }
                !over
            });
        }
        self.lines.retain(|line| !line.work.is_empty());
        self.count -= out.len() - before;
    }

    /// Takes out one piece of work.
    pub(super) fn remove(&mut self, key: RequestKey) -> bool {
        let before = self.count;
        for line in &mut self.lines {
            let old = line.work.len();
            line.work.retain(|waiting| waiting.key != key);
            self.count -= old - line.work.len();
        }
        self.lines.retain(|line| !line.work.is_empty());
        self.count < before
    }
}
