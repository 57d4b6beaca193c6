//! Questions for tokens that have not been answered.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_types::id::InstanceName;
use wb_types::id::Moment;

/// Time within which the response to a question counts.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Most instances that are asked at once.
const TARGETS_MAX: usize = 8;

/// Questions that have not been answered, and who is asked next.
#[derive(Clone, Debug, Default)]
pub struct Questions {
    serial: u64,
    /// Time of each question and who has not answered it, by its number.
    open: BTreeMap<u64, (Moment, Vec<InstanceName>)>,
    /// Where the last question ended in the list of homes.
    turn: usize,
}

impl Questions {
    /// Chooses whom to ask next, in turns over the other homes.
    pub fn targets(&mut self, others: &[InstanceName]) -> Vec<InstanceName> {
        if others.is_empty() {
            return Vec::new();
        }
        let count = others.len().min(TARGETS_MAX);
        let turn = self.turn % others.len();
        self.turn = turn + count;
        let mut targets = others.to_vec();
        targets.rotate_left(turn);
        targets.truncate(count);
        targets
    }

    /// Number of questions until all of so many other homes have been asked.
    pub fn rounds(others: usize) -> u32 {
        others.div_ceil(TARGETS_MAX) as u32
    }

    /// Notes a question to these instances. Returns its number.
    pub fn add(&mut self, targets: Vec<InstanceName>, now: Moment) -> u64 {
        self.open
            .retain(|_, (at, _)| now.saturating_sub(*at) <= ANSWER_TIME);
        self.serial += 1;
        self.open.insert(self.serial, (now, targets));
        self.serial
    }

    /// Whether a response counts, which it does once. Returns whether all others have answered too, or
    /// `None` if it doesn't count.
    pub fn close(&mut self, serial: u64, from: &InstanceName, now: Moment) -> Option<bool> {
        let (at, waiting) = self.open.get_mut(&serial)?;
        if now.saturating_sub(*at) > ANSWER_TIME {
            return None;
        }
        let index = waiting.iter().position(|name| name == from)?;
        waiting.swap_remove(index);
        let complete = waiting.is_empty();
        if complete {
            self.open.remove(&serial);
        }
        Some(complete)
    }
}
