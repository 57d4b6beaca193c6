//! Whether an instance reaches the backend servers.
//!
//! If its requests fail at several servers and succeed at none while those of other instances succeed,
//! the path of this instance is cut, not the servers. Requests then have to go through other
//! instances. If others fail as well, the servers are down, and nobody serves them better. An instance
//! that sends too little to tell, since the other servers are suspect, limited or not asked for, finds out
//! by connections to them.

use std::collections::HashSet;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::ServerName;

/// Servers that must fail whatever their number: one that fails alone is at fault itself.
const FAILED_MIN: usize = 2;

/// Limits of the decision.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Servers at which requests must fail, where there are that many.
    pub servers_min: usize,
    /// Time for which none must have succeeded since the first of these failures: longer than that in
    /// which a few servers fail together.
    pub silence: Duration,
    /// Time without a success since the first failure after which connections must show whether the
    /// servers are reached.
    pub check_delay: Duration,
    /// Time after the first of these failures from which a success of another instance shows that the
    /// servers are up: its response may have been on the way.
    pub overlap: Duration,
    /// Age up to which a success or failure of another instance says how it fares now.
    pub peer_age: Duration,
    /// Time after the end of a cut in which the instance takes no callers, lest it changes back and
    /// forth.
    pub return_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            servers_min: 3,
            silence: Duration::from_millis(250),
            check_delay: Duration::from_secs(1),
            overlap: Duration::from_millis(100),
            peer_age: Duration::from_secs(2),
            return_delay: Duration::from_secs(5),
        }
    }
}

/// What an instance knows of its path to the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    options: Options,
    /// Servers at which requests failed since the last success.
    failed: HashSet<ServerName>,
    first_failure: Moment,
    /// Whether a server has accepted a connection since the last failure.
    accepted: bool,
    last_success: Option<Moment>,
    peer_success: Option<Moment>,
    peer_failure: Option<Moment>,
    cut: bool,
    /// When the last cut ended.
    restored: Option<Moment>,
}

impl Reach {
    /// The state of an instance that has sent nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records that a server did not respond to this instance, or could not be connected. `usable` is the
    /// number of servers of its service that requests are sent to: if there are few, all of them must fail;
    /// `None` if it is not known. Returns whether the instance counts as cut off from now on.
    pub fn record_failure(
        &mut self,
        server: &ServerName,
        usable: Option<usize>,
        now: Moment,
    ) -> bool {
        if self.failed.is_empty() {
            self.first_failure = now;
        }
        self.accepted = false;
        self.failed.insert(server.clone());
        let needed = usable.map_or(self.options.servers_min, |usable| {
            self.options.servers_min.min(usable.max(FAILED_MIN))
        });
        let begins = self.failed.len() >= needed && self.fails_alone(self.options.silence, now);
        self.cut |= begins;
        begins
    }

    /// Whether connections must show whether the instance is cut off, since its requests are too few to tell.
    pub fn needs_check(&self, now: Moment) -> bool {
        !self.failed.is_empty() && !self.accepted && self.fails_alone(self.options.check_delay, now)
    }

    /// Records whether a server accepted a connection in such a check. Returns whether the instance counts as cut
    /// off from now on.
    pub fn record_check(&mut self, accepted: bool, now: Moment) -> bool {
        let begins = !accepted && self.needs_check(now);
        self.cut |= begins;
        self.accepted |= accepted;
        begins
    }

    /// Records that a server responded to this instance. Returns whether that ends a cut.
    pub fn record_success(&mut self, now: Moment) -> bool {
        self.last_success = Some(now);
        self.record_return(now)
    }

    /// Whether no server has responded since the last cut ended.
    pub fn awaits_response(&self) -> bool {
        self.restored.is_some() && self.last_success < self.restored
    }

    /// Records that servers accept connections of this instance again. Returns whether that ends a cut.
    pub fn record_return(&mut self, now: Moment) -> bool {
        self.failed.clear();
        let ends = self.cut;
        self.cut = false;
        if ends {
            self.restored = Some(now);
        }
        ends
    }

    /// Records that a server responded to another instance at the time `at`.
    pub fn record_peer_success(&mut self, at: Moment) {
        self.peer_success = self.peer_success.max(Some(at));
    }

    /// Records that a server failed another instance at the time `at`.
    pub fn record_peer_failure(&mut self, at: Moment) {
        self.peer_failure = self.peer_failure.max(Some(at));
    }

    /// Records that another instance reaches the servers again: failures that are known of others are older.
    pub fn record_peer_return(&mut self) {
        self.peer_failure = None;
    }

    /// Whether this instance reaches no servers, while others do.
    pub fn is_cut(&self) -> bool {
        self.cut
    }

    /// Whether this instance should take no callers: it is cut off, or was a moment ago.
    pub fn avoids_callers(&self, now: Moment) -> bool {
        let delay = self.options.return_delay;
        let recent = |restored| now.saturating_sub(restored) < delay;
        self.cut || self.restored.is_some_and(recent)
    }

    /// Whether a request that this instance can't send to a server may be served by another one: others
    /// had a success lately, or nothing is known of them.
    pub fn peers_may_serve(&self, now: Moment) -> bool {
        self.peers_are_served(now) || !self.is_recent(self.peer_failure, now)
    }

    /// Whether a server has responded to another instance lately.
    pub fn peers_are_served(&self, now: Moment) -> bool {
        self.is_recent(self.peer_success, now)
    }

    /// Time since a server last responded to this instance.
    pub fn success_age(&self, now: Moment) -> Option<Duration> {
        let last = self.last_success?;
        Some(now.saturating_sub(last))
    }

    /// Time since a server last responded to another instance, as far as known.
    pub fn peer_success_age(&self, now: Moment) -> Option<Duration> {
        let last = self.peer_success?;
        Some(now.saturating_sub(last))
    }

    /// Servers at which requests failed since the last success.
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Whether no server has responded to this instance for some time since the first failure, while some
    /// have to others.
    fn fails_alone(&self, silence: Duration, now: Moment) -> bool {
        !self.cut
            && now.saturating_sub(self.first_failure) >= silence
            && self.peers_are_served(now)
            && self.peer_success > Some(self.first_failure + self.options.overlap)
    }

    fn is_recent(&self, at: Option<Moment>, now: Moment) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= self.options.peer_age)
    }
}
