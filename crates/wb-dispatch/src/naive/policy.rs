//! The border towards the daemon.

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

use super::ERRORS_MAX;
use super::Job;
use super::Local;
use super::Naive;
use super::OUT;
use super::Part;
use crate::limit::TokenBucket;
use crate::policy::Assignment;
use crate::policy::Decision;
use crate::policy::DecisionTrace;
use crate::policy::LoadReport;
use crate::policy::Policy;
use crate::policy::RequestKey;
use crate::policy::ServerView;
use crate::policy::ServicePlacement;
use crate::policy::Verdict;

impl Naive {
    /// An instance without rows or servers.
    pub fn new(me: InstanceName, service: ServiceName, seed: u64) -> Self {
        Self {
            me,
            service,
            version: 0,
            fleet: 1,
            parts: Vec::new(),
            servers: Vec::new(),
            jobs: Default::default(),
            decisions: Vec::new(),
            changes: Vec::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn admit(&mut self, row: &RowKey, now: Moment) -> Result<usize, Reason> {
        let fleet = self.fleet.max(1);
        let found = self.parts.iter().position(|part| part.row.key == *row);
        let index = found.ok_or(Reason::UnknownClass)?;
        let part = &mut self.parts[index];
        let limit = (part.row.concurrency as usize).div_ceil(fleet) as u32;
        if part.running >= limit {
            return Err(Reason::Concurrency);
        }
        if !part.bucket.try_take(part.row.rate / fleet as f64, now) {
            return Err(Reason::RateLimit);
        }
        part.running += 1;
        Ok(index)
    }

    fn choose(&mut self, now: Moment) -> Option<usize> {
        let open = |local: &Local| !local.leaving && local.out <= now;
        let servers = self.servers.iter().filter(|local| open(local));
        let least = servers.map(|local| local.busy).min()?;
        let ties: Vec<usize> = (0..self.servers.len())
            .filter(|index| open(&self.servers[*index]) && self.servers[*index].busy == least)
            .collect();
        ties.choose(&mut self.rng).copied()
    }

    fn judge(&mut self, index: usize, ending: AttemptOutcome, now: Moment) {
        let local = &mut self.servers[index];
        match ending {
            AttemptOutcome::Success(_) => local.errors = 0,
            AttemptOutcome::Failure => local.errors += 1,
            AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
        }
        if local.errors < ERRORS_MAX {
            return;
        }
        local.errors = 0;
        local.out = now + OUT;
        self.changes.push(StateChange {
            server: local.server.name.clone(),
            from: "healthy".to_owned(),
            to: "ejected".to_owned(),
            score: f64::from(ERRORS_MAX),
            floor: false,
        });
    }
}

impl Policy for Naive {
    fn set_rows(&mut self, rows: &[Row], version: TableVersion, _floor: u32) {
        self.version = version;
        let parts = rows.iter().map(|row| Part {
            row: row.clone(),
            bucket: TokenBucket::default(),
            running: 0,
        });
        self.parts = parts.collect();
    }

    fn set_placement(&mut self, place: &ServicePlacement, _now: Moment) {
        self.fleet = place.instance_count;
        for server in &place.owned {
            let leaving = server.lifecycle == Lifecycle::Leaving;
            let known = self
                .servers
                .iter_mut()
                .find(|local| local.server.name == server.name);
            if let Some(known) = known {
                known.leaving = leaving;
                continue;
            }
            self.servers.push(Local {
                server: server.clone(),
                busy: 0,
                errors: 0,
                out: Moment::ZERO,
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

    fn submit(&mut self, work: QueuedRequest, now: Moment) -> RequestKey {
        let chosen = self
            .admit(&work.row, now)
            .and_then(|part| match self.choose(now) {
                Some(server) => Ok((part, server)),
                None => {
                    self.parts[part].running -= 1;
                    Err(Reason::NoCapacity)
                }
            });
        self.order += 1;
        let trace = DecisionTrace {
            table: self.version,
            order: self.order,
            ..DecisionTrace::default()
        };
        let mut job = Job {
            server: None,
            part: None,
        };
        let verdict = match chosen {
            Ok((part, index)) => {
                let local = &mut self.servers[index];
                local.busy += 1;
                job.server = Some(index);
                job.part = Some(part);
                Verdict::Run(Assignment {
                    server: local.server.name.clone(),
                    address: local.server.address,
                    max_connections: local.server.connections,
                    mirror: None,
                })
            }
            Err(reason) => Verdict::Refuse(Refusal::not_run(reason)),
        };
        let key = self.jobs.insert(job);
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
        ending: AttemptOutcome,
        _report: Option<LoadReport>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(part) = job.part.and_then(|index| self.parts.get_mut(index)) {
            part.running = part.running.saturating_sub(1);
        }
        if let Some(index) = job.server {
            self.servers[index].busy = self.servers[index].busy.saturating_sub(1);
            self.judge(index, ending, now);
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
            home: self.me.clone(),
            service: self.service.clone(),
            free_slots: 0,
            waiting: 0,
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
            state: if local.out.is_zero() {
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
