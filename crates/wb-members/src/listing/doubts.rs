//! Servers whose entries may no longer hold, until their own responses tell.

use std::collections::BTreeMap;
use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;
use wb_types::id::Moment;
use wb_types::id::ServerName;

/// Longest time for which a server is set aside because an earlier process of it was leaving.
const RESTART_MAX: Duration = Duration::from_secs(2);

/// Why an entry may no longer hold.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum DoubtCause {
    /// Its row was removed, and may have lapsed.
    Lapsed,
    /// The server said that it is leaving when another process of it was listed.
    Restarted,
}

/// An entry that may no longer hold.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    cause: DoubtCause,
    since: Moment,
    /// When the server is set aside unless it has responded.
    from: Moment,
    /// When it is used all the same; `None` if the entry is dropped then.
    until: Option<Moment>,
}

/// Servers whose entries may no longer hold.
#[derive(Clone, Debug, Default)]
pub struct Doubts(BTreeMap<ServerName, Doubt>);

impl Doubts {
    /// Records that the row of a server was removed and may have lapsed. The server may be used for
    /// `proof_time` more without a response.
    pub fn raise_lapsed(&mut self, server: &ServerName, proof_time: Duration, now: Moment) {
        let doubt = Doubt {
            cause: DoubtCause::Lapsed,
            since: now,
            from: now + proof_time,
            until: None,
        };
        self.0.entry(server.clone()).or_insert(doubt);
    }

    /// Records that an earlier process of a server, or this one, was leaving.
    pub fn raise_restarted(&mut self, server: &ServerName, now: Moment) {
        let doubt = Doubt {
            cause: DoubtCause::Restarted,
            since: now,
            from: now,
            until: Some(now + RESTART_MAX),
        };
        self.0.insert(server.clone(), doubt);
    }

    /// Records that a server did not say that it is leaving in its response to a request that was
    /// sent at `sent`. Returns whether that was in doubt.
    pub fn resolve(&mut self, server: &str, sent: Moment) -> bool {
        let resolved = self.0.get(server).is_some_and(|doubt| sent >= doubt.since);
        resolved && self.0.remove(server).is_some()
    }

    /// Forgets a server.
    pub fn clear(&mut self, server: &str) {
        self.0.remove(server);
    }

    /// Forgets servers that are used all the same, and those whose rows are there again. `lapsed` is
    /// whether the row of a server is still missing.
    pub fn expire(&mut self, lapsed: impl Fn(&str) -> bool, now: Moment) {
        self.0.retain(|server, doubt| match doubt.cause {
            DoubtCause::Lapsed => lapsed(server),
            DoubtCause::Restarted => doubt.until.is_none_or(|until| now < until),
        });
    }

    /// Whether no server is in doubt.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All servers in doubt.
    pub fn all(&self) -> impl Iterator<Item = (&ServerName, DoubtCause)> {
        self.0.iter().map(|(server, doubt)| (server, doubt.cause))
    }

    /// Servers that are set aside.
    pub fn set_aside(&self, now: Moment) -> impl Iterator<Item = (&ServerName, DoubtCause)> {
        let due = self.0.iter().filter(move |(_, doubt)| now >= doubt.from);
        due.map(|(server, doubt)| (server, doubt.cause))
    }
}
