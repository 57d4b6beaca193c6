//! Backend servers that were seen leaving.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::member::LeaverNews;

/// Time for which a leaver is told to others.
const SPREAD_TIME: Duration = Duration::from_secs(30);
/// LeavingServers in one message at most.
const NEWS_BATCH: usize = 32;

/// A leaver and when it was heard of.
#[derive(Clone, Debug)]
struct LeavingServer {
    news: LeaverNews,
    learned: Moment,
}

/// Backend servers that some instance saw leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    known: Vec<LeavingServer>,
}

impl LeavingServers {
    /// Takes a leaver; whether it was new.
    pub(super) fn add(&mut self, news: &LeaverNews, now: Moment) -> bool {
        if self.known.iter().any(|leaver| leaver.news == *news) {
            return false;
        }
        self.known.push(LeavingServer {
            news: news.clone(),
            learned: now,
        });
        true
    }

    /// Forgets a leaver that the platform lists as live again.
    pub(super) fn forget(&mut self, news: &LeaverNews) {
        self.known.retain(|leaver| leaver.news != *news);
    }

    /// Whether a server was seen leaving.
    pub(super) fn contains(&self, service: &str, server: &str) -> bool {
        let mut known = self.known.iter();
        known.any(|leaver| &*leaver.news.service == service && &*leaver.news.server == server)
    }

    /// LeavingServers to tell, newest first.
    pub(super) fn news(&self, now: Moment) -> Vec<LeaverNews> {
        let recent = self
            .known
            .iter()
            .rev()
            .filter(|leaver| now.saturating_sub(leaver.learned) < SPREAD_TIME);
        recent
            .take(NEWS_BATCH)
            .map(|leaver| leaver.news.clone())
            .collect()
    }
}
