//! Balancer, queued requests and connection statistics of one service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use wb_balance::Assignment;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::HedgeLimit;
use wb_balance::IdleLimits;
use wb_balance::ListedServer;
use wb_balance::Options;
use wb_balance::Refusal;
use wb_balance::RetryBudget;
use wb_balance::WaitKey;
use wb_balance::balancer::EvidenceReport;
use wb_balance::limit::Division;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::roster::Server;

use crate::context::Context;
use crate::context::State;
use crate::settings::Bounds;

/// Share of the fleet's retry budget that is spent. The rest is a margin, since the fleet counts
/// the budget in other windows than this instance.
const RETRY_SHARE: f64 = 0.9;

/// Decision on a queued request: a slot, or a refusal.
pub type Admission = Result<Box<Assignment>, Refusal>;

/// A queued request. It stays here with the decision on it until its task takes the decision or withdraws
/// the request, so that a slot has an owner all the while.
struct Waiter {
    decision: Option<Admission>,
    /// Wakes the task of the request; `None` once there is a decision.
    wakeup: Option<oneshot::Sender<()>>,
}

/// Balancer, queued requests and connection statistics of one service.
pub struct Service {
    /// Chooses the servers and queues requests.
    pub balancer: Balancer,
    /// Idle times after which connections to the servers are reset.
    pub idle_limits: IdleLimits,
    waiters: HashMap<WaitKey, Waiter>,
    /// Servers that gave a complete response since the last message to other instances.
    successes: HashSet<ServerName>,
}

impl Service {
    /// Creates a service without servers.
    pub fn new(domain: &str, bounds: &Bounds) -> Self {
        let options = Options {
            domain: domain.to_owned(),
            ..Options::default()
        };
        let budget = RetryBudget::new(
            bounds.ratio * RETRY_SHARE,
            bounds.reserve * RETRY_SHARE,
            bounds.window,
        );
        Self {
            balancer: Balancer::new(options, budget),
            idle_limits: IdleLimits::default(),
            waiters: HashMap::new(),
            successes: HashSet::new(),
        }
    }

    /// Servers that gave a complete response since the last call of this method.
    pub fn take_successes(&mut self) -> Vec<ServerName> {
        self.successes.drain().collect()
    }

    /// Registers a queued request. The receiver is woken when [`Self::take_decision`] has a decision on it.
    pub fn enqueue(&mut self, key: WaitKey) -> oneshot::Receiver<()> {
        let (wakeup, woken) = oneshot::channel();
        let waiter = Waiter {
            decision: None,
            wakeup: Some(wakeup),
        };
        self.waiters.insert(key, waiter);
        woken
    }

    /// Takes the decision on a queued request; `None` if there is none yet. The caller owns a slot from
    /// then on.
    pub fn take_decision(&mut self, key: WaitKey) -> Option<Admission> {
        let waiter = self.waiters.get_mut(&key)?;
        let decision = waiter.decision.take()?;
        self.waiters.remove(&key);
        Some(decision)
    }

    /// Removes a request from the queue, unless its decision was taken. A slot that it was given goes to
    /// the next request.
    pub fn withdraw(&mut self, key: WaitKey, now: Moment) {
        self.balancer.cancel(key);
        let waiter = self.waiters.remove(&key);
        if let Some(Ok(assignment)) = waiter.and_then(|waiter| waiter.decision) {
            self.finish(&assignment, "", AttemptOutcome::Inconclusive, now);
            self.release_queued(now);
        }
    }

    /// Gives free slots to queued requests.
    pub fn release_queued(&mut self, now: Moment) {
        if self.balancer.queued_count() == 0 {
            return;
        }
        for released in self.balancer.release_queued(now) {
            let waiter = self.waiters.get_mut(&released.key);
            let waiter = waiter.expect("a queued request has a waiter");
            waiter.decision = Some(released.result);
            if let Some(wakeup) = waiter.wakeup.take() {
                // Fails if the request is about to be withdrawn.
                let _ = wakeup.send(());
            }
        }
    }

    /// Frees the slot of an assignment and what was taken with it. Returns the evidence on its server that
    /// other instances have to know.
    pub fn finish(
        &mut self,
        assignment: &Assignment,
        route: &str,
        outcome: AttemptOutcome,
        now: Moment,
    ) -> Option<EvidenceReport> {
        let key = assignment.key;
        let report = self.balancer.finish(key, route, outcome, now);
        let answered = matches!(
            outcome,
            AttemptOutcome::Success(_) | AttemptOutcome::Late(_)
        );
        self.balancer
            .finish_body(key, assignment.body, answered, now);
        if answered {
            self.successes.insert(assignment.server.name.clone());
        }
        report
    }

    /// Sets the share of the fleet's requests that this instance carries, between 0 and 1. The
    /// reserve of the retry budget scales with it.
    pub fn set_share(&mut self, share: f64, bounds: &Bounds) {
        self.balancer.set_share(share);
        let reserve = bounds.reserve * RETRY_SHARE * share;
        let budget = self.balancer.retry_budget();
        budget.set_limits(bounds.ratio * RETRY_SHARE, reserve, bounds.window);
    }
}

impl State {
    /// Returns the service, creating it if needed.
    pub fn service(&mut self, name: &ServiceName, context: &Context) -> &mut Service {
        let settings = &context.settings;
        self.services.entry(name.clone()).or_insert_with(|| {
            let mut service = Service::new(&settings.card.domain, &settings.bounds);
            let limit = settings.options.hedges.limit(name);
            service.balancer.limit_hedges(limit.map(|limit| HedgeLimit {
                share: limit.share,
                quantile: limit.quantile,
            }));
            if let Some(closing) = context.closing() {
                service.balancer.close(closing);
            }
            service
        })
    }

    /// Gives each service its servers from the server list, and the instance's share of the fleet's
    /// requests.
    pub fn apply_listing(&mut self, context: &Context, now: Moment) {
        self.listing.update_doubts(now);
        if self.listing.doubted().next().is_some() {
            context.doubts_wakeup.notify_one();
        }
        let mut lists: HashMap<ServiceName, Vec<ListedServer>> = HashMap::new();
        for name in self.services.keys() {
            lists.insert(name.clone(), Vec::new());
        }
        let share = self.share();
        let own = self.steering.own_card().name.clone();
        let division = Division::new(own, self.steering.homes().to_vec());
        for (entry, lifecycle) in self.listing.servers() {
            let mut server = entry.server.clone();
            server.lifecycle = lifecycle;
            server.max_connections = self.connection_limit(&server, share);
            let warmup = entry.warmup;
            let list = lists.entry(server.service.clone()).or_default();
            list.push(ListedServer {
                server,
                started: entry.started,
                warmup,
            });
        }
        for (name, list) in lists {
            let service = self.service(&name, context);
            service.balancer.update(&list, now);
            service.balancer.set_division(division.clone(), now);
            service.set_share(share, &context.settings.bounds);
            service.release_queued(now);
        }
    }

    /// Time since the server list was last confirmed as complete.
    pub fn listing_age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.freshness.confirmed())
    }

    /// Share of the fleet's requests that this instance carries, between 0 and 1.
    pub fn share(&self) -> f64 {
        if !self.steering.is_home() {
            let others = self.steering.cards().len() - self.steering.homes().len();
            return NON_HOME_SHARE / others.max(1) as f64;
        }
        let homes = self.steering.homes().len().max(1);
        (1.0 - NON_HOME_SHARE) / homes as f64
    }

    /// Number of connections that this instance may open to a server: its share of what the server
    /// accepts, but at least one for each slot.
    fn connection_limit(&self, server: &Server, share: f64) -> u32 {
        let routes: Option<&Arc<_>> = self.routes.as_ref();
        let config = routes.and_then(|routes| routes.services.get(&server.service));
        let total = config.map_or(f64::from(DEFAULT_CONNECTIONS), |config| {
            f64::from(config.max_connections)
        });
        ((total * share) as u32).max(server.slots)
    }
}

/// Share of the fleet's requests that all instances other than homes carry together. These come
/// from callers with older directory answers.
const NON_HOME_SHARE: f64 = 0.1;
/// Connections that a server is assumed to accept from all instances until the routes are known.
const DEFAULT_CONNECTIONS: u32 = 64;
