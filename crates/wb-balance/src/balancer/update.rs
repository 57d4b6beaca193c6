//! The list of servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Server;

use super::Balancer;
use super::Entry;
use crate::FailureDetector;
use crate::Options;
use crate::RetryBudget;

/// Share of sends that fail before any was seen: nothing is known of any server.
const FAILING: f64 = 0.15;
/// Duration of a request before any was seen, in seconds.
const UNKNOWN: f64 = 0.3;

/// A listed server, and how long it stays slow after its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server.
    pub server: Server,
    /// How long it will be slow.
    pub warmup: Duration,
}

impl Balancer {
    /// A service without servers.
    pub fn new(options: Options, budget: RetryBudget) -> Self {
        Self {
            options,
            servers: slotmap::SlotMap::with_key(),
            names: HashMap::new(),
            waiting: slotmap::SlotMap::with_key(),
            usual: HashMap::new(),
            mean: UNKNOWN,
            part: 1.0,
            failing: FAILING,
            urgent: u8::MAX,
            budget,
        }
    }

    /// Takes the servers of the service as they are listed now; those that are not among them get
    /// no more work.
    pub fn update(&mut self, listed: &[ListedServer], now: Moment) {
        let kept: HashSet<&ServerName> = listed.iter().map(|one| &one.server.name).collect();
        let gone: Vec<ServerName> = self
            .names
            .keys()
            .filter(|name| !kept.contains(name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(key) = self.names.remove(&name) {
                self.servers.remove(key);
            }
        }
        for one in listed {
            self.put(one, now);
        }
    }

    fn put(&mut self, listed: &ListedServer, now: Moment) {
        if let Some(entry) = self.named(&listed.server.name) {
            if entry.server.address != listed.server.address {
                entry.trust = FailureDetector::default();
                entry.misplaced = false;
            }
            entry.server = listed.server.clone();
            return;
        }
        let key = self.servers.insert(Entry {
            server: listed.server.clone(),
            trust: FailureDetector::default(),
            running: 0,
            told: 0,
            others: HashMap::new(),
            pace: 1.0,
            shed: 0.0,
            rest: Moment::ZERO,
            cold: now + listed.warmup,
            misplaced: false,
        });
        self.names.insert(listed.server.name.clone(), key);
    }

    /// Takes the part of the fleet's work that this instance carries, 0 to 1.
    pub fn set_share(&mut self, part: f64) {
        self.part = part.clamp(0.001, 1.0);
    }

    /// Takes what another instance has running, in place of what it said before.
    pub fn set_running(&mut self, from: &InstanceName, counts: &HashMap<ServerName, u32>) {
        for entry in self.servers.values_mut() {
            match counts.get(&entry.server.name) {
                Some(count) => {
                    entry.others.insert(from.clone(), *count);
                }
                None => {
                    entry.others.remove(from);
                }
            }
        }
    }

    /// Takes what has changed of what another instance has running.
    pub fn update_running(&mut self, from: &InstanceName, counts: &HashMap<ServerName, u32>) {
        for (server, count) in counts {
            let Some(entry) = self.named(server) else {
                continue;
            };
            if *count == 0 {
                entry.others.remove(from);
            } else {
                entry.others.insert(from.clone(), *count);
            }
        }
    }

    /// Forgets what another instance had running, since it is gone.
    pub fn forget_instance(&mut self, from: &str) {
        for entry in self.servers.values_mut() {
            entry.others.remove(from);
        }
    }
}
