//! What servers say of themselves in their responses.

use std::collections::BTreeMap;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::Lifetime;

/// Time for which a statement is kept after its server was last listed, in case its row lapsed.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// A server's statement that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Statement {
    lifetime: Lifetime,
    /// When it was made, or the server was last listed.
    seen: Moment,
}

/// Servers that have said in a response that they are leaving. Nothing but a later start takes that
/// back: the platform's row may be older.
#[derive(Clone, Debug, Default)]
pub struct Statements(BTreeMap<ServerName, Statement>);

impl Statements {
    /// Records a statement. Returns whether it is news.
    pub fn record(&mut self, server: &ServerName, lifetime: Lifetime, now: Moment) -> bool {
        let known = self.0.get(server);
        if known.is_some_and(|known| known.lifetime >= lifetime) {
            return false;
        }
        let seen = now;
        self.0.insert(server.clone(), Statement { lifetime, seen });
        true
    }

    /// Whether the server has said that it is leaving since this start of its process, or a later one
    /// of which the row is not known yet.
    pub fn is_leaving(&self, server: &str, lifetime: Lifetime) -> bool {
        let known = self.0.get(server);
        known.is_some_and(|known| known.lifetime >= lifetime)
    }

    /// All statements.
    pub fn all(&self) -> Vec<(ServerName, Lifetime)> {
        let all = self.0.iter();
        all.map(|(server, known)| (server.clone(), known.lifetime))
            .collect()
    }

    /// Forgets statements of servers that have left long ago or started again.
    pub fn expire(&mut self, listed: impl Fn(&str) -> Option<Lifetime>, now: Moment) {
        self.0.retain(|server, known| match listed(server) {
            Some(lifetime) if lifetime > known.lifetime => false,
            Some(_) => {
                known.seen = now;
                true
            }
            None => now.saturating_sub(known.seen) < KEEP_TIME,
        });
    }
}
