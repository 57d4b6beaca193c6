//! Backend servers that announced that they are leaving.

use std::time::Duration;

use wb_types::id::Moment;
use wb_types::member::LeaverNews;

/// Time for which a leaving server is included in news.
const SPREAD_TIME: Duration = Duration::from_secs(30);
/// Maximum number of leaving servers in one message.
const NEWS_BATCH: usize = 32;

/// A leaving server and when this instance learned of it.
#[derive(Clone, Debug)]
struct LeavingServer {
    news: LeaverNews,
    learned: Moment,
}

/// Backend servers that announced to any instance that they are leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    known: Vec<LeavingServer>,
}

impl LeavingServers {
    /// Adds a server and returns whether it was new.
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

    /// Removes a server that the platform lists as live again.
    pub(super) fn forget(&mut self, news: &LeaverNews) {
        self.known.retain(|leaver| leaver.news != *news);
    }

    /// Returns whether a server is known to be leaving.
    pub(super) fn contains(&self, service: &str, server: &str) -> bool {
        let mut known = self.known.iter();
        known.any(|leaver| &*leaver.news.service == service && &*leaver.news.server == server)
    }

    /// Returns the leaving servers to include in news, newest first.
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
