//! What became of non-idempotent work that another instance passed on.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::RequestId;

use crate::StoredResponse;

/// Time that a fate is kept.
const LIFE: Duration = Duration::from_secs(300);
/// Fates kept at most.
const FATES_MAX: usize = 100_000;

/// What became of passed work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// It was not run here and never will be.
    NotRun,
    /// It is running.
    Running,
    /// It was run; with the answer, if that was small enough to keep.
    Ran(Option<StoredResponse>),
    /// It was handed to a backend server, and nobody can say whether it was run.
    Unknown,
}

/// When a fate was last set.
#[derive(Clone, Debug)]
struct Due {
    id: RequestId,
    at: Moment,
}

/// Fates of passed work, by request id.
#[derive(Debug, Default)]
pub struct ForwardedRequests {
    fates: HashMap<RequestId, ExecutionStatus>,
    dues: VecDeque<Due>,
}

impl ForwardedRequests {
    /// Begins passed work; `false` if it was barred or has begun before.
    pub fn begin(&mut self, id: &RequestId, now: Moment) -> bool {
        self.expire(now);
        if self.fates.contains_key(id) || self.fates.len() >= FATES_MAX {
            return false;
        }
        self.set(id, ExecutionStatus::Running, now);
        true
    }

    /// Ends passed work.
    pub fn end(&mut self, id: &RequestId, fate: ExecutionStatus, now: Moment) {
        self.set(id, fate, now);
    }

    /// Says what became of passed work. Work that was never seen is barred, so that it can't
    /// begin later.
    pub fn settle(&mut self, id: &RequestId, now: Moment) -> ExecutionStatus {
        self.expire(now);
        if let Some(fate) = self.fates.get(id) {
            return fate.clone();
        }
        self.set(id, ExecutionStatus::NotRun, now);
        ExecutionStatus::NotRun
    }

    fn set(&mut self, id: &RequestId, fate: ExecutionStatus, now: Moment) {
        self.fates.insert(id.clone(), fate);
        self.dues.push_back(Due {
            id: id.clone(),
            at: now,
        });
    }

    fn expire(&mut self, now: Moment) {
        while let Some(due) = self.dues.front() {
            if now.saturating_sub(due.at) < LIFE {
                return;
            }
            let due = self.dues.pop_front().expect("the front was just seen");
            let running = self.fates.get(&due.id) == Some(&ExecutionStatus::Running);
            if !running {
                self.fates.remove(&due.id);
            }
        }
    }
}
