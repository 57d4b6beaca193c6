//! Backend servers that were seen leaving.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::member::LeavingServer;

/// Time for which a leaver is told to others.
const TELL: Duration = Duration::from_secs(30);
/// Leavers in one message at most.
const BATCH: usize = 32;

/// A leaver and when it was heard of.
#[derive(Clone, Debug)]
struct Leaver {
    news: LeavingServer,
    since: Moment,
}

/// Backend servers that some instance saw leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct Leavers {
    known: Vec<Leaver>,
}

impl Leavers {
    /// Takes a leaver; whether it was new.
    pub(super) fn add(&mut self, news: &LeavingServer, now: Moment) -> bool {
        if self.known.iter().any(|leaver| leaver.news == *news) {
            return false;
        }
        self.known.push(Leaver {
            news: news.clone(),
            since: now,
        });
        true
    }

    /// Forgets a leaver that the platform lists as live again.
    pub(super) fn forget(&mut self, news: &LeavingServer) {
        self.known.retain(|leaver| leaver.news != *news);
    }

    /// Whether a server was seen leaving.
    pub(super) fn has(&self, service: &str, server: &str) -> bool {
        let mut known = self.known.iter();
        known.any(|leaver| &*leaver.news.service == service && &*leaver.news.server == server)
    }

    /// Leavers to tell, newest first.
    pub(super) fn news(&self, now: Moment) -> Vec<LeavingServer> {
        let fresh = self
            .known
            .iter()
            .rev()
            .filter(|leaver| now.saturating_sub(leaver.since) < TELL);
        fresh
            .take(BATCH)
            .map(|leaver| leaver.news.clone())
            .collect()
    }
}
