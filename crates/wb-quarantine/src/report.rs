//! What instances tell each other about requests that may crash servers.
//!
//! A report holds all that its sender knows of a request, and receivers take the union. So reports may
//! be lost, late, doubled or in any order.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Moment;
use wb_types::id::RequestKey;
use wb_types::id::ServerName;

use crate::quarantine::Crash;

/// What an instance knows of a request. Times are ages, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub key: RequestKey,
    /// Ends of servers while they had it.
    pub crashes: Vec<ReportedCrash>,
    /// Time since it was last answered, if it was.
    pub answered_age: Option<Duration>,
}

/// End of a server while it had a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The server.
    pub server: ServerName,
    /// Start of its process.
    pub started: u64,
    /// Time since the request was sent to it.
    pub began_age: Duration,
    /// Time since its end was noticed.
    pub ended_age: Duration,
}

impl ReportedCrash {
    /// The report on a crash at the time `now`.
    pub fn new(crash: &Crash, now: Moment) -> Self {
        Self {
            server: crash.server.clone(),
            started: crash.started,
            began_age: now.saturating_sub(crash.began),
            ended_age: now.saturating_sub(crash.ended),
        }
    }

    /// The crash by the receiver's clock.
    pub fn crash(&self, now: Moment) -> Crash {
        Crash {
            server: self.server.clone(),
            started: self.started,
            began: now.saturating_sub(self.began_age),
            ended: now.saturating_sub(self.ended_age),
        }
    }
}
