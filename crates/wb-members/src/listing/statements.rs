//! What servers say of themselves in their responses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::Lifetime;

/// Time for which a statement is kept after its server was last listed as the process that made it,
/// in case its row lapsed.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// Most processes of one server of which statements are kept.
const PROCESSES_MAX: usize = 4;

/// A server's statements that it is leaving.
#[derive(Clone, Debug)]
struct Statement {
    /// Processes that were listed when the server said so. A response does not name its process, so
    /// that it may be one that was not listed yet.
    lifetimes: BTreeSet<Lifetime>,
    /// When the last one was made, or the server was last listed as such a process.
    seen: Moment,
}

/// Servers that have said in a response that they are leaving. A row does not take that back: it may
/// be older.
#[derive(Clone, Debug, Default)]
pub struct Statements(BTreeMap<ServerName, Statement>);

impl Statements {
    /// Records a statement. Returns whether it is news.
    pub fn record(&mut self, server: &ServerName, lifetime: Lifetime, now: Moment) -> bool {
        let known = self.0.entry(server.clone()).or_insert_with(|| Statement {
            lifetimes: BTreeSet::new(),
            seen: now,
        });
        known.seen = now;
        let news = known.lifetimes.insert(lifetime);
        if known.lifetimes.len() > PROCESSES_MAX {
            let other = known.lifetimes.iter().find(|other| **other != lifetime);
            if let Some(other) = other.copied() {
                known.lifetimes.remove(&other);
            }
        }
        news
    }

    /// Whether the server has said that it is leaving while this process of it was listed.
    pub fn is_leaving(&self, server: &str, lifetime: Lifetime) -> bool {
        let known = self.0.get(server);
        known.is_some_and(|known| known.lifetimes.contains(&lifetime))
    }

    /// Whether the server has said that it is leaving, but not while this process of it was listed.
    pub fn is_ambiguous(&self, server: &str, lifetime: Lifetime) -> bool {
        let known = self.0.get(server);
        known.is_some_and(|known| !known.lifetimes.contains(&lifetime))
    }

    /// All statements.
    pub fn all(&self) -> Vec<(ServerName, Lifetime)> {
        let all = self.0.iter().flat_map(|(server, known)| {
            let lifetimes = known.lifetimes.iter();
            lifetimes.map(|lifetime| (server.clone(), *lifetime))
        });
        all.collect()
    }

    /// Forgets statements of servers that left or started again long ago.
    pub fn expire(&mut self, listed: impl Fn(&str) -> Option<Lifetime>, now: Moment) {
        self.0.retain(|server, known| {
            let lifetime = listed(server);
            if lifetime.is_some_and(|lifetime| known.lifetimes.contains(&lifetime)) {
                known.seen = now;
            }
            now.saturating_sub(known.seen) < KEEP_TIME
        });
    }
}
