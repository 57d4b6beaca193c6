//! Backend servers that announced that they are leaving, as spread by gossip.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::member::LeavingServer;

/// Time for which a leaving server is included in gossip messages.
const SPREAD_TIME: Duration = Duration::from_secs(30);
/// Maximum number of leaving servers in one message.
const GOSSIP_MAX: usize = 32;

/// A leaving server and when this instance learned of it.
#[derive(Clone, Debug)]
struct Entry {
    server: LeavingServer,
    learned: Moment,
}

/// Backend servers that announced to any instance that they are leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    entries: Vec<Entry>,
}

impl LeavingServers {
    /// Adds a server and returns whether it was new.
    pub(super) fn add(&mut self, server: &LeavingServer, now: Moment) -> bool {
        if self.entries.iter().any(|entry| entry.server == *server) {
            return false;
        }
        self.entries.push(Entry {
            server: server.clone(),
            learned: now,
        });
        true
    }

    /// Removes a server that the platform lists as live again.
    pub(super) fn forget(&mut self, server: &LeavingServer) {
        self.entries.retain(|entry| entry.server != *server);
    }

    /// Returns whether a server is known to be leaving.
    pub(super) fn contains(&self, service: &str, server: &str) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| &*entry.server.service == service && &*entry.server.server == server)
    }

    /// Returns the leaving servers to include in a gossip message, newest first.
    pub(super) fn gossip(&self, now: Moment) -> Vec<LeavingServer> {
        let recent = self
            .entries
            .iter()
            .rev()
            .filter(|entry| now.saturating_sub(entry.learned) < SPREAD_TIME);
        recent
            .take(GOSSIP_MAX)
            .map(|entry| entry.server.clone())
            .collect()
    }
}
