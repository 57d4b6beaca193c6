//! The queued requests of one row and expected duration.

use std::collections::VecDeque;
use std::time::Duration;

use wb_types::id::CallerName;
use wb_types::id::Moment;

use crate::dispatch::RequestKey;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// Key of the request.
    pub key: RequestKey,
    /// When the request was queued.
    pub queued_at: Moment,
    /// Deadline, after which the request is not run any more.
    pub deadline: Moment,
}

/// The queued requests of one caller.
#[derive(Clone, Debug)]
struct CallerQueue {
    caller: CallerName,
    entries: VecDeque<QueueEntry>,
}

/// The queued requests of one row and expected duration, by caller in the order of their turns.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    callers: VecDeque<CallerQueue>,
    count: usize,
}

impl Flow {
    pub(super) fn count(&self) -> usize {
        self.count
    }

    pub(super) fn push(&mut self, caller: CallerName, entry: QueueEntry) {
        self.count += 1;
        let queue = self.callers.iter_mut().find(|queue| queue.caller == caller);
        if let Some(queue) = queue {
            queue.entries.push_back(entry);
            return;
        }
        self.callers.push_back(CallerQueue {
            caller,
            entries: VecDeque::from([entry]),
        });
    }

    /// Puts the request that was dequeued last back in front.
    pub(super) fn push_front(&mut self, caller: CallerName, entry: QueueEntry) {
        self.count += 1;
        let found = self.callers.iter().position(|queue| queue.caller == caller);
        let mut queue = match found.and_then(|index| self.callers.remove(index)) {
            Some(queue) => queue,
            None => CallerQueue {
                caller,
                entries: VecDeque::new(),
            },
        };
        queue.entries.push_front(entry);
        self.callers.push_front(queue);
    }

    /// Removes the next request: of the caller whose turn it is the oldest one, or the newest one
    /// if the oldest has waited for more than `stale_after`.
    pub(super) fn pop(&mut self, stale_after: Duration, now: Moment) -> Option<QueueEntry> {
        let mut queue = self.callers.pop_front()?;
        let oldest = queue.entries.front()?.queued_at;
        let is_stale = now.saturating_sub(oldest) > stale_after;
        let entry = if is_stale {
            queue.entries.pop_back()
        } else {
            queue.entries.pop_front()
        };
        if !queue.entries.is_empty() {
            self.callers.push_back(queue);
        }
        self.count -= 1;
        entry
    }

    /// Moves all requests that have waited for `max_wait` or reached their deadline to `expired`.
    pub(super) fn expire(
        &mut self,
        max_wait: Duration,
        now: Moment,
        expired: &mut Vec<QueueEntry>,
    ) {
        let before = expired.len();
        for queue in &mut self.callers {
            queue.entries.retain(|entry| {
                let is_expired =
                    now.saturating_sub(entry.queued_at) >= max_wait || entry.deadline <= now;
                if is_expired {
                    expired.push(*entry);
                }
                !is_expired
            });
        }
        self.callers.retain(|queue| !queue.entries.is_empty());
        self.count -= expired.len() - before;
    }

    /// Removes a request; `false` if it is not queued here.
    pub(super) fn remove(&mut self, key: RequestKey) -> bool {
        let before = self.count;
        for queue in &mut self.callers {
            let old = queue.entries.len();
            queue.entries.retain(|entry| entry.key != key);
            self.count -= old - queue.entries.len();
        }
        self.callers.retain(|queue| !queue.entries.is_empty());
        self.count < before
    }
}
