//! Division of servers' limits among the homes.

use wb_types::id::InstanceName;
use wb_types::rendezvous::weight;

use super::Rate;

/// Number of homes that share a low limit. Each may send one request at any moment, so more of them
/// would together exceed a limit of one a second within a few seconds.
const HOLDERS_MIN: usize = 4;
/// Lowest total rate, in requests per second: without any request, the fleet would not learn that a
/// limit is lifted.
const RATE_MIN: Rate = 0.1;

/// The homes among which limits are divided, as this instance sees them. All instances that see the
/// same homes divide a limit alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Division {
    own: InstanceName,
    homes: Vec<InstanceName>,
}

/// This instance's part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Rate that it may use; 0 if other homes hold the limit.
    pub rate: Rate,
    /// Whether this instance is the one that reports the limit to others.
    pub is_first: bool,
    /// Whether some homes hold no part of the limit.
    pub is_partial: bool,
}

impl Division {
    /// The division among `homes`; `own` is this instance's name.
    pub fn new(own: InstanceName, homes: Vec<InstanceName>) -> Self {
        Self { own, homes }
    }

    /// Whether this instance is a home.
    pub fn is_home(&self) -> bool {
        self.homes.is_empty() || self.homes.contains(&self.own)
    }

    /// This instance's part of a server's limit. A low limit is held by a few homes, which differ
    /// between servers.
    pub fn part(&self, server: &str, limit: Rate) -> Part {
        let limit = limit.max(RATE_MIN);
        if self.homes.is_empty() {
            return Part {
                rate: limit,
                ..Part::default()
            };
        }
        if !self.is_home() {
            return Part::default();
        }
        let homes = self.homes.len();
        let holders = (limit as usize).clamp(HOLDERS_MIN.min(homes), homes);
        let order = |name: &InstanceName| (weight(server, name), name.clone());
        let own = order(&self.own);
        let ahead = self.homes.iter().filter(|name| order(name) > own).count();
        if ahead >= holders {
            return Part::default();
        }
        Part {
            rate: limit / holders as Rate,
            is_first: ahead == 0,
            is_partial: holders < homes,
        }
    }
}
