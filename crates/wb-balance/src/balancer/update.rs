//! Updates of the server list and of the requests that peers have in flight.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use wb_share::Parts;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Server;

use super::Balancer;
use super::ServerEntry;
use super::repeats::REPEAT_PATIENCE;
use crate::FailureDetector;
use crate::Options;
use crate::RetryBudget;
use crate::bytes::ByteLimit;
use crate::bytes::HeldBytes;
use crate::bytes::PEER_TIME;
use crate::durations::Durations;
use crate::limit::Division;
use crate::limit::ServerLimit;
use crate::lines::Lines;
use crate::overload::Overload;
use crate::pause::MissingServers;
use crate::ranks::Ranks;
use crate::shares::Shares;

/// Failure rate that is assumed before any send: nothing is known of any server.
const INITIAL_FAILURE_RATE: f64 = 0.15;
/// Duration that is assumed before any request, in seconds.
const INITIAL_DURATION_SECS: f64 = 0.3;

/// Time constant of the decay of a server's duration ratio: slow servers recover, too.
const SLOW_DECAY_TIME: Duration = Duration::from_secs(10);

/// A listed server, its process and its remaining warm-up.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server.
    pub server: Server,
    /// Start of its process; 0 if unknown.
    pub started: u64,
    /// Time until it has warmed up; it counts as slow until then.
    pub warmup: Duration,
}

impl Balancer {
    /// A balancer without servers.
    pub fn new(options: Options, retry_budget: RetryBudget) -> Self {
        let window = retry_budget.window();
        Self {
            options,
            servers: slotmap::SlotMap::with_key(),
            keys: HashMap::new(),
            queue: slotmap::SlotMap::with_key(),
            lines: Lines::default(),
            durations: Durations::new(INITIAL_DURATION_SECS),
            share: 1.0,
            failure_rate: INITIAL_FAILURE_RATE,
            unserved_rate: 0.0,
            overdue_rate: 0.0,
            explorer_share: 0.0,
            return_allowance: 0.0,
            decayed_at: Moment::ZERO,
            ranks: Ranks::new(window),
            retry_budget,
            hedging: None,
            division: Division::default(),
            overload: Overload::default(),
            closing: None,
            missing_servers: MissingServers::default(),
            limits_reduced: false,
            shares: Shares::default(),
            repeat_parts: Parts::fading(window, REPEAT_PATIENCE),
            overtaken_since: None,
            byte_limit: ByteLimit::default(),
            peer_reports: HashMap::new(),
        }
    }

    /// Replaces the list of servers. A server that is not in it gets no more requests.
    pub fn update(&mut self, listed: &[ListedServer], now: Moment) {
        let kept: HashSet<&ServerName> = listed.iter().map(|one| &one.server.name).collect();
        let gone: Vec<ServerName> = self
            .keys
            .keys()
            .filter(|name| !kept.contains(name))
            .cloned()
            .collect();
        for name in gone {
            let key = self.keys.remove(&name);
            if let Some(entry) = key.and_then(|key| self.servers.remove(key)) {
                self.missing_servers
                    .insert(&entry.server, entry.paused_until, now);
            }
        }
        for one in listed {
            self.upsert(one, now);
        }
    }

    fn upsert(&mut self, listed: &ListedServer, now: Moment) {
        if let Some(entry) = self.by_name(&listed.server.name) {
            if entry.server.address != listed.server.address {
                entry.detector = FailureDetector::default();
                entry.misdirected = false;
                entry.limit = ServerLimit::default();
                entry.paused_until = Moment::ZERO;
            }
            // What was known of the process before says nothing of this one.
            if entry.started != listed.started && entry.started != 0 && listed.started != 0 {
                entry.detector = FailureDetector::default();
                entry.misdirected = false;
                entry.duration_ratio = 1.0;
                entry.shed_rate = 0.0;
                entry.warm_at = now + listed.warmup;
            }
            if listed.started != 0 {
                entry.started = listed.started;
            }
            entry.server = listed.server.clone();
            return;
        }
        let paused_until = self.missing_servers.remove(&listed.server);
        let key = self.servers.insert(ServerEntry {
            server: listed.server.clone(),
            started: listed.started,
            detector: FailureDetector::default(),
            own_running: 0,
            reported_running: 0,
            peer_running: HashMap::new(),
            duration_ratio: 1.0,
            shed_rate: 0.0,
            backoff_until: Moment::ZERO,
            warm_at: now + listed.warmup,
            misdirected: false,
            limit: ServerLimit::default(),
            paused_until: paused_until.unwrap_or_default(),
            bytes: HeldBytes::default(),
        });
        self.keys.insert(listed.server.name.clone(), key);
    }

    /// Lets the evidence on servers decay. Returns those that are no longer suspect.
    pub fn decay(&mut self, now: Moment) -> Vec<ServerName> {
        let passed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        let factor = (-passed.as_secs_f64() / SLOW_DECAY_TIME.as_secs_f64()).exp();
        let entries = self.servers.values_mut();
        let cleared = entries.filter_map(|entry| {
            entry.duration_ratio = 1.0 + (entry.duration_ratio - 1.0) * factor;
            let cleared = entry.detector.decay(passed);
            cleared.then(|| entry.server.name.clone())
        });
        cleared.collect()
    }

    /// Sets the share of the fleet's requests that this instance handles, 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.001, 1.0);
    }

    /// Replaces a peer's counts of requests in flight.
    pub fn set_running(
        &mut self,
        from: &InstanceName,
        counts: &HashMap<ServerName, u32>,
        now: Moment,
    ) {
        self.peer_reports.insert(from.clone(), now);
        for entry in self.servers.values_mut() {
            match counts.get(&entry.server.name) {
                Some(count) => {
                    entry.peer_running.insert(from.clone(), *count);
                }
                None => {
                    entry.peer_running.remove(from);
                }
            }
        }
    }

    /// Updates those of a peer's counts of requests in flight that changed; 0 removes one.
    pub fn update_running(
        &mut self,
        from: &InstanceName,
        counts: &HashMap<ServerName, u32>,
        now: Moment,
    ) {
        self.peer_reports.insert(from.clone(), now);
        for (server, count) in counts {
            let Some(entry) = self.by_name(server) else {
                continue;
            };
            if *count == 0 {
                entry.peer_running.remove(from);
            } else {
                entry.peer_running.insert(from.clone(), *count);
            }
        }
    }

    /// Drops the counts of a peer that is gone.
    pub fn forget_instance(&mut self, from: &str) {
        self.peer_reports.remove(from);
        for entry in self.servers.values_mut() {
            entry.peer_running.remove(from);
        }
    }

    /// Drops the counts of peers that have not reported any for [`PEER_TIME`], as a peer with requests in
    /// flight does all the time. Returns those that had requests in flight.
    pub fn expire_running(&mut self, now: Moment) -> Vec<InstanceName> {
        let overdue = |at: &Moment| now.saturating_sub(*at) >= PEER_TIME;
        let reports = self.peer_reports.iter();
        let silent: Vec<InstanceName> = reports
            .filter(|(_, at)| overdue(at))
            .map(|(name, _)| name.clone())
            .collect();
        let mut dropped = Vec::new();
        for name in silent {
            let mut entries = self.servers.values();
            if entries.any(|entry| entry.peer_running.contains_key(&name)) {
                dropped.push(name.clone());
            }
            self.forget_instance(&name);
        }
        dropped
    }
}
