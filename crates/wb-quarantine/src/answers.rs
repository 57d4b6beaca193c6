//! Requests that were answered lately.

use std::collections::HashMap;
use std::mem;

use wb_types::id::Moment;
use wb_types::id::RequestKey;

/// Bounded memory of when requests were last answered. It keeps two generations; when the newer is
/// full, the older is dropped, so that requests which come often stay.
#[derive(Clone, Debug)]
pub struct AnswerCache {
    generation_max: usize,
    newer: HashMap<RequestKey, Moment>,
    older: HashMap<RequestKey, Moment>,
}

impl AnswerCache {
    /// An empty cache of at most this many requests.
    pub fn new(keys_max: usize) -> Self {
        Self {
            generation_max: keys_max / 2,
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    /// Records that a request was answered.
    pub fn insert(&mut self, key: RequestKey, now: Moment) {
        self.newer.insert(key, now);
        if self.newer.len() >= self.generation_max {
            self.older = mem::take(&mut self.newer);
        }
    }

    /// When the request was last answered, as far as known.
    pub fn get(&self, key: RequestKey) -> Option<Moment> {
        let found = self.newer.get(&key).or_else(|| self.older.get(&key));
        found.copied()
    }
}
