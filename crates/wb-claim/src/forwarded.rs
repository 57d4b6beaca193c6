//! Execution status of non-idempotent requests that another instance forwarded.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::RequestId;

use crate::StoredResponse;

/// Time that a status is kept.
const STATUS_TTL: Duration = Duration::from_secs(300);
/// Maximum number of statuses.
const STATUSES_MAX: usize = 100_000;

/// Execution status of a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// It was not run here and never will be.
    NotRun,
    /// It is running.
    Running,
    /// It was run; with the response, if that was small enough to keep.
    Ran(Option<StoredResponse>),
    /// It was sent to a backend server and may or may not have been run.
    Unknown,
}

/// Entry of the expiry queue: when a status was set.
#[derive(Clone, Debug)]
struct ExpiryEntry {
    id: RequestId,
    at: Moment,
}

/// Statuses of forwarded requests, by request id.
#[derive(Debug, Default)]
pub struct ForwardedRequests {
    statuses: HashMap<RequestId, ExecutionStatus>,
    expiry_queue: VecDeque<ExpiryEntry>,
}

impl ForwardedRequests {
    /// Marks a forwarded request as running. Returns `false` if it must not run: it was barred by
    /// [`Self::settle`] or has begun before, or the maximum number of statuses is reached.
    pub fn begin(&mut self, id: &RequestId, now: Moment) -> bool {
        self.expire(now);
        if self.statuses.contains_key(id) || self.statuses.len() >= STATUSES_MAX {
            return false;
        }
        self.set(id, ExecutionStatus::Running, now);
        true
    }

    /// Records the final status of a forwarded request.
    pub fn finish(&mut self, id: &RequestId, status: ExecutionStatus, now: Moment) {
        self.set(id, status, now);
    }

    /// Returns the status of a forwarded request. A request that was never received is barred, so
    /// that it can't begin when it arrives later.
    pub fn settle(&mut self, id: &RequestId, now: Moment) -> ExecutionStatus {
        self.expire(now);
        if let Some(status) = self.statuses.get(id) {
            return status.clone();
        }
        self.set(id, ExecutionStatus::NotRun, now);
        ExecutionStatus::NotRun
    }

    fn set(&mut self, id: &RequestId, status: ExecutionStatus, now: Moment) {
        self.statuses.insert(id.clone(), status);
        self.expiry_queue.push_back(ExpiryEntry {
            id: id.clone(),
            at: now,
        });
    }

    fn expire(&mut self, now: Moment) {
        while let Some(oldest) = self.expiry_queue.front() {
            if now.saturating_sub(oldest.at) < STATUS_TTL {
                return;
            }
            let oldest = self
                .expiry_queue
                .pop_front()
                .expect("the queue is not empty");
            let running = self.statuses.get(&oldest.id) == Some(&ExecutionStatus::Running);
            if !running {
                self.statuses.remove(&oldest.id);
            }
        }
    }
}
