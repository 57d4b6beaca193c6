//! Servers and waiting requests of one service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use tokio::sync::oneshot;
use wb_balance::Assignment;
use wb_balance::Balancer;
use wb_balance::IdleLimits;
use wb_balance::ListedServer;
use wb_balance::Options;
use wb_balance::Refusal;
use wb_balance::RetryBudget;
use wb_balance::WaitKey;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;
use wb_types::roster::Server;

use crate::context::Context;
use crate::context::State;
use crate::settings::Bounds;

/// Part of the fleet's retry allowance that is used; the rest is for windows that the fleet counts
/// otherwise than this instance.
const RETRY_PART: f64 = 0.9;

/// What a waiting request hears.
pub type Verdict = Result<Box<Assignment>, Refusal>;

/// Servers and waiting requests of one service.
pub struct Service {
    /// Decisions.
    pub balancer: Balancer,
    /// Rests of connections to the servers.
    pub rests: IdleLimits,
    waiters: HashMap<WaitKey, oneshot::Sender<Verdict>>,
    /// Servers that gave a whole answer since others were told last.
    good: HashSet<ServerName>,
}

impl Service {
    /// A service without servers.
    pub fn new(domain: &str, bounds: &Bounds) -> Self {
        let options = Options {
            domain: domain.to_owned(),
            ..Options::default()
        };
        let budget = RetryBudget::new(
            bounds.ratio * RETRY_PART,
            bounds.reserve * RETRY_PART,
            bounds.window,
        );
        Self {
            balancer: Balancer::new(options, budget),
            rests: IdleLimits::default(),
            waiters: HashMap::new(),
            good: HashSet::new(),
        }
    }

    /// Notes a server that gave a whole answer.
    pub fn note_good(&mut self, server: ServerName) {
        self.good.insert(server);
    }

    /// Servers that gave a whole answer since the last call.
    pub fn take_good(&mut self) -> Vec<ServerName> {
        self.good.drain().collect()
    }

    /// Waits for the verdict on a waiting request.
    pub fn wait(&mut self, key: WaitKey) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(key, sender);
        receiver
    }

    /// Takes a waiting request out.
    pub fn cancel(&mut self, key: WaitKey) {
        self.balancer.cancel(key);
        self.waiters.remove(&key);
    }

    /// Gives free slots to waiting requests.
    pub fn pump(&mut self, now: Moment) {
        if self.balancer.queued_count() == 0 {
            return;
        }
        for released in self.balancer.release_queued(now) {
            let Some(waiter) = self.waiters.remove(&released.key) else {
                continue;
            };
            // A request whose caller went away gives its slot back when the grant is dropped.
            if let Err(Ok(grant)) = waiter.send(released.result) {
                self.balancer
                    .finish(grant.key, "", wb_balance::AttemptOutcome::Inconclusive, now);
            }
        }
    }

    /// Takes the part of the fleet's work that this instance carries.
    pub fn set_part(&mut self, part: f64, bounds: &Bounds) {
        self.balancer.set_share(part);
        let reserve = bounds.reserve * RETRY_PART * part;
        let budget = self.balancer.retry_budget();
        budget.set_limits(bounds.ratio * RETRY_PART, reserve, bounds.window);
    }
}

impl State {
    /// The service, made if it is new.
    pub fn service(&mut self, name: &ServiceName, context: &Context) -> &mut Service {
        let settings = &context.settings;
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service::new(&settings.card.domain, &settings.bounds))
    }

    /// Hands the list of servers to the services.
    pub fn spread(&mut self, context: &Context, now: Moment) {
        let mut lists: HashMap<ServiceName, Vec<ListedServer>> = HashMap::new();
        for name in self.services.keys() {
            lists.insert(name.clone(), Vec::new());
        }
        let part = self.part();
        for entry in self.listing.entries().values() {
            let mut server = entry.server.clone();
            server.max_connections = self.connections(&server, part);
            let warmup = entry.warmup;
            let list = lists.entry(server.service.clone()).or_default();
            list.push(ListedServer { server, warmup });
        }
        for (name, list) in lists {
            let service = self.service(&name, context);
            service.balancer.update(&list, now);
            service.set_part(part, &context.settings.bounds);
            service.pump(now);
        }
    }

    /// Part of the fleet's work that this instance carries.
    pub fn part(&self) -> f64 {
        if !self.steering.is_home() {
            let strays = self.steering.cards().len() - self.steering.homes().len();
            return STRAYS / strays.max(1) as f64;
        }
        let homes = self.steering.homes().len().max(1);
        (1.0 - STRAYS) / homes as f64
    }

    /// Connections that this instance may open to a server: its part, and one for each slot.
    fn connections(&self, server: &Server, part: f64) -> u32 {
        let routes: Option<&Arc<_>> = self.routes.as_ref();
        let known = routes.and_then(|routes| routes.services.get(&server.service));
        let all = known.map_or(f64::from(CONNECTIONS), |known| {
            f64::from(known.max_connections)
        });
        ((all * part) as u32).max(server.slots)
    }
}

/// Part of the fleet's work that all instances together carry that are no homes: callers with old
/// answers.
const STRAYS: f64 = 0.1;
/// Connections that a server is taken to accept before the routes tell.
const CONNECTIONS: u32 = 64;
