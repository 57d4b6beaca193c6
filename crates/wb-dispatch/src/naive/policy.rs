//! Implementation of the policy interface.

use std::mem;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use wb_health::StateChange;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::member::HomeLoad;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::request::AttemptOutcome;
use wb_types::request::QueuedRequest;
use wb_types::roster::Lifecycle;

use super::CONSECUTIVE_ERRORS_MAX;
use super::EJECTION_TIME;
use super::LimitShare;
use super::LocalServer;
use super::Naive;
use super::TrackedRequest;
use crate::limit::TokenBucket;
use crate::policy::Assignment;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::DispatchPolicy;
use crate::policy::LocalPlacement;
use crate::policy::RequestKey;
use crate::policy::ServerLoad;
use crate::policy::ServerView;
use crate::policy::Verdict;

impl Naive {
    /// Creates a policy without rows or servers.
    pub fn new(instance: InstanceName, service: ServiceName, seed: u64) -> Self {
        Self {
            instance,
            service,
            version: 0,
            instance_count: 1,
            shares: Vec::new(),
            servers: Vec::new(),
            requests: Default::default(),
            decisions: Vec::new(),
            changes: Vec::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn admit(&mut self, row: &RowKey, now: Moment) -> Result<usize, Reason> {
        let instance_count = self.instance_count.max(1);
        let found = self.shares.iter().position(|share| share.row.key == *row);
        let index = found.ok_or(Reason::UnknownClass)?;
        let share = &mut self.shares[index];
        let limit = (share.row.concurrency as usize).div_ceil(instance_count) as u32;
        if share.running >= limit {
            return Err(Reason::Concurrency);
        }
        if !share
            .bucket
            .try_take(share.row.rate / instance_count as f64, now)
        {
            return Err(Reason::RateLimit);
        }
        share.running += 1;
        Ok(index)
    }

    fn choose_server(&mut self, now: Moment) -> Option<usize> {
        let is_available = |local: &LocalServer| !local.leaving && local.ejected_until <= now;
        let servers = self.servers.iter().filter(|local| is_available(local));
        let min_busy = servers.map(|local| local.busy).min()?;
        let ties: Vec<usize> = (0..self.servers.len())
            .filter(|index| {
                is_available(&self.servers[*index]) && self.servers[*index].busy == min_busy
            })
            .collect();
        ties.choose(&mut self.rng).copied()
    }

    fn record_outcome(&mut self, index: usize, outcome: AttemptOutcome, now: Moment) {
        let local = &mut self.servers[index];
        match outcome {
            AttemptOutcome::Success(_) => local.errors = 0,
            AttemptOutcome::Failure => local.errors += 1,
            AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
        }
        if local.errors < CONSECUTIVE_ERRORS_MAX {
            return;
        }
        local.errors = 0;
        local.ejected_until = now + EJECTION_TIME;
        self.changes.push(StateChange {
            server: local.server.name.clone(),
            from: "healthy".to_owned(),
            to: "ejected".to_owned(),
            score: f64::from(CONSECUTIVE_ERRORS_MAX),
            floor: false,
        });
    }
}

impl DispatchPolicy for Naive {
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, _floor: u32) {
        self.version = version;
        let shares = rows.iter().map(|row| LimitShare {
            row: row.clone(),
            bucket: TokenBucket::default(),
            running: 0,
        });
        self.shares = shares.collect();
    }

    fn set_placement(&mut self, placement: &LocalPlacement, _now: Moment) {
        self.instance_count = placement.instance_count;
        for server in &placement.owned {
            let leaving = server.lifecycle == Lifecycle::Leaving;
            let known = self
                .servers
                .iter_mut()
                .find(|local| local.server.name == server.name);
            if let Some(known) = known {
                known.leaving = leaving;
                continue;
            }
            self.servers.push(LocalServer {
                server: server.clone(),
                busy: 0,
                errors: 0,
                ejected_until: Moment::ZERO,
                leaving,
            });
        }
    }

    fn set_leaving(&mut self, server: &str, leaving: bool) {
        for local in &mut self.servers {
            if &*local.server.name == server {
                local.leaving = leaving;
            }
        }
    }

    fn record_home_load(&mut self, _load: &HomeLoad, _now: Moment) {}

    fn mark_unreachable(&mut self, _home: &str, _now: Moment) {}

    fn submit(&mut self, request: QueuedRequest, now: Moment) -> RequestKey {
        let chosen =
            self.admit(&request.row, now)
                .and_then(|share| match self.choose_server(now) {
                    Some(server) => Ok((share, server)),
                    None => {
                        self.shares[share].running -= 1;
                        Err(Reason::NoCapacity)
                    }
                });
        self.order += 1;
        let trace = DecisionTrace {
            table: self.version,
            order: self.order,
            ..DecisionTrace::default()
        };
        let mut tracked = TrackedRequest {
            server: None,
            share: None,
        };
        let verdict = match chosen {
            Ok((share, index)) => {
                let local = &mut self.servers[index];
                local.busy += 1;
                tracked.server = Some(index);
                tracked.share = Some(share);
                Verdict::Run(Assignment {
                    server: local.server.name.clone(),
                    address: local.server.address,
                    max_connections: local.server.max_connections,
                    mirror: None,
                })
            }
            Err(reason) => Verdict::Refuse(Refusal::not_run(reason)),
        };
        let key = self.requests.insert(tracked);
        self.decisions.push(Decision {
            key,
            verdict,
            trace,
        });
        key
    }

    fn finish(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        _server_load: Option<ServerLoad>,
        now: Moment,
    ) {
        let Some(tracked) = self.requests.remove(key) else {
            return;
        };
        if let Some(share) = tracked.share.and_then(|index| self.shares.get_mut(index)) {
            share.running = share.running.saturating_sub(1);
        }
        if let Some(index) = tracked.server {
            self.servers[index].busy = self.servers[index].busy.saturating_sub(1);
            self.record_outcome(index, outcome, now);
        }
    }

    fn try_spend_retry(&mut self) -> bool {
        true
    }

    fn tick(&mut self, _now: Moment) {}

    fn take_decisions(&mut self) -> Vec<Decision> {
        mem::take(&mut self.decisions)
    }

    fn take_changes(&mut self) -> Vec<StateChange> {
        mem::take(&mut self.changes)
    }

    fn home_load(&mut self, _now: Moment) -> HomeLoad {
        HomeLoad {
            home: self.instance.clone(),
            service: self.service.clone(),
            free_slots: 0,
            queued: 0,
            healthy_slots: 0,
            rows: Vec::new(),
        }
    }

    fn median_duration(&self) -> Option<Duration> {
        None
    }

    fn server_views(&self) -> Vec<ServerView> {
        let views = self.servers.iter().map(|local| ServerView {
            name: local.server.name.clone(),
            state: if local.ejected_until.is_zero() {
                "healthy"
            } else {
                "out"
            }
            .to_owned(),
            score: f64::from(local.errors),
            leaving: local.leaving,
            busy: local.busy,
            slots: local.server.slots,
        });
        views.collect()
    }
}
