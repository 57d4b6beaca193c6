//! Parts of an update, each of which arrives in a datagram of its own.

use std::collections::BTreeSet;

use super::ListVersion;
use super::Update;
use super::UpdateId;

/// Most updates of which parts are remembered: some for each instance that sends them.
const UPDATES_MAX: usize = 16;

/// What tells an update from others.
type UpdateKey = (UpdateId, ListVersion, ListVersion, u32);

/// Updates that have arrived in part, the latest last.
#[derive(Clone, Debug, Default)]
pub struct PartialUpdates(Vec<(UpdateKey, BTreeSet<u32>)>);

impl PartialUpdates {
    /// Records a part of an update. Returns whether the update is complete now.
    pub fn record(&mut self, update: &Update) -> bool {
        let key = (update.id, update.after, update.upto, update.parts);
        let known = self.0.iter().position(|(known, _)| *known == key);
        let mut seen = known.map_or_else(BTreeSet::new, |index| self.0.remove(index).1);
        seen.insert(update.part);
        if seen.len() >= update.parts as usize {
            return true;
        }
        if self.0.len() >= UPDATES_MAX {
            self.0.remove(0);
        }
        self.0.push((key, seen));
        false
    }
}
