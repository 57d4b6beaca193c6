//! Steps that send requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wb_types::outcome::Outcome;

use super::Arguments;
use super::Scenario;
use crate::caller::Caller;
use crate::caller::RequestOutcome;
use crate::caller::RequestSpec;

/// Number of concurrent requests.
const CONCURRENCY: usize = 16;
/// Delay of a caller before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for the whole response to a lookup or an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Size of an upload, in bytes.
const UPLOAD_BYTES: usize = 2 * 1024 * 1024;

impl Scenario {
    pub(super) fn caller(&mut self) -> eyre::Result<Arc<Caller>> {
        let entries = self.fleet()?.caller_addresses();
        Ok(Arc::new(Caller::new("key-of-all-services", entries)))
    }

    /// Sends lookups; the caller retries those that fail or are refused.
    pub(super) async fn send_lookups(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count = arguments.number("count")?;
        let attempts = arguments.number_or("tries", 40)?;
        let caller = self.caller()?;
        let specs = (0..count).map(|index| lookup("registry", index));
        let outcomes = send_all(&caller, specs.collect(), attempts).await;
        let count_of = |expected: RequestOutcome| {
            outcomes
                .iter()
                .filter(|outcome| **outcome == expected)
                .count()
        };
        Ok(format!(
            "good {} wrong {} short {}",
            count_of(RequestOutcome::Good),
            count_of(RequestOutcome::Wrong),
            count_of(RequestOutcome::Short)
        ))
    }

    /// Sends lookups without retries and ignores their outcomes.
    pub(super) async fn send_lookup_burst(
        &mut self,
        service: &str,
        count: usize,
    ) -> eyre::Result<()> {
        let caller = self.caller()?;
        let specs = (0..count).map(|index| lookup(service, index));
        send_all(&caller, specs.collect(), 1).await;
        Ok(())
    }

    /// Sends orders with tickets, every fourth twice at once, and compares their outcomes with the
    /// ledger of the backend servers.
    pub(super) async fn send_orders(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count = arguments.number("count")?;
        let caller = self.caller()?;
        let mut outcomes: HashMap<String, RequestOutcome> = HashMap::new();
        let mut remaining: usize = count;
        while remaining > 0 {
            let batch = remaining.min(CONCURRENCY);
            remaining -= batch;
            let tickets = caller.request_tickets(batch).await;
            let first = self.orders_sent;
            self.orders_sent += batch;
            let orders = (first..).zip(tickets).map(|(index, ticket)| {
                let mut spec = RequestSpec::order("registry", &format!("scenario-{index}"), 2.0);
                spec.idempotency_key = Some(ticket);
                spec.timeout = RESPONSE_TIMEOUT;
                let caller = caller.clone();
                tokio::spawn(async move {
                    let outcome = send_order(&caller, &spec, index % 4 == 0).await;
                    (spec.order_id.unwrap_or_default(), outcome)
                })
            });
            for finished in futures::future::join_all(orders.collect::<Vec<_>>()).await {
                let (order, outcome) = finished?;
                outcomes.insert(order, outcome);
            }
        }
        self.verify_orders(&outcomes, arguments.has("flow")).await
    }

    async fn verify_orders(
        &mut self,
        outcomes: &HashMap<String, RequestOutcome>,
        flow: bool,
    ) -> eyre::Result<String> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let ledger = self.fleet()?.ledger().await?;
        let ran: HashMap<&str, u32> = ledger
            .iter()
            .map(|count| (count.order.as_str(), count.times))
            .collect();
        let times = |order: &str| ran.get(order).copied().unwrap_or(0);
        let duplicates = outcomes.keys().filter(|order| times(order) > 1).count();
        let false_refusals = outcomes.iter().filter(|(order, outcome)| {
            matches!(
                outcome,
                RequestOutcome::Refused(Outcome::NotRun, _) | RequestOutcome::Unsent
            ) && times(order) > 0
        });
        let missing = outcomes
            .iter()
            .filter(|(order, outcome)| **outcome == RequestOutcome::Good && times(order) == 0);
        let mut text = format!(
            "run twice {duplicates}, told not run but run {}, told done but not run {}",
            false_refusals.count(),
            missing.count()
        );
        if flow {
            let done = outcomes
                .values()
                .filter(|outcome| **outcome == RequestOutcome::Good)
                .count();
            text.push_str(&format!(", done {done}"));
        }
        Ok(text)
    }

    /// Starts uploads that the backend server processes for a given time.
    pub(super) async fn start_uploads(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count: usize = arguments.number("count")?;
        let millis = arguments.number("ms")?;
        let caller = self.caller()?;
        let body = Bytes::from(vec![3; UPLOAD_BYTES]);
        for index in 0..count {
            let path = format!("/photos/{index}");
            let spec = RequestSpec::upload("pattern", &path, body.clone(), millis);
            let caller = caller.clone();
            self.uploads
                .push(tokio::spawn(async move { caller.send(&spec).await }));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(String::new())
    }

    /// Waits for the started uploads and returns their outcomes as text.
    pub(super) async fn wait_uploads(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let mut good = 0;
        let mut others = Vec::new();
        for upload in self.uploads.drain(..) {
            match upload.await? {
                RequestOutcome::Good => good += 1,
                other => others.push(format!("{other:?}")),
            }
        }
        if arguments.has("lost") {
            let lost = others.iter().filter(|outcome| !outcome.contains("NotRun"));
            return Ok(format!("lost {}", lost.count()));
        }
        Ok(format!("good {good} others {others:?}"))
    }
}

fn lookup(service: &str, index: usize) -> RequestSpec {
    RequestSpec {
        timeout: RESPONSE_TIMEOUT,
        ..RequestSpec::lookup(service, &format!("/stock/{index}"), 2.0)
    }
}

/// Sends requests in concurrent batches, each with up to `attempts` attempts.
async fn send_all(
    caller: &Arc<Caller>,
    specs: Vec<RequestSpec>,
    attempts: usize,
) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    for batch in specs.chunks(CONCURRENCY) {
        let sent = batch.iter().cloned().map(|spec| {
            let caller = caller.clone();
            tokio::spawn(async move { send_with_retries(&caller, &spec, attempts).await })
        });
        let finished = futures::future::join_all(sent.collect::<Vec<_>>()).await;
        outcomes.extend(finished.into_iter().filter_map(Result::ok));
    }
    outcomes
}

/// Sends a request until it gets a complete response, right or wrong, or the attempts are used up.
async fn send_with_retries(caller: &Caller, spec: &RequestSpec, attempts: usize) -> RequestOutcome {
    let mut outcome = RequestOutcome::Unsent;
    for attempt in 0..attempts {
        outcome = caller.send(spec).await;
        if matches!(
            outcome,
            RequestOutcome::Good | RequestOutcome::Wrong | RequestOutcome::Short
        ) {
            return outcome;
        }
        caller.evict_addresses(&spec.service);
        if attempt + 1 < attempts {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    outcome
}

/// Sends an order through random instances until it is done, at most five times. An outcome that
/// leaves open whether the order ran takes precedence over a refusal.
async fn send_order(caller: &Caller, spec: &RequestSpec, twice: bool) -> RequestOutcome {
    let mut uncertain = None;
    let mut last = RequestOutcome::Unsent;
    for _ in 0..5 {
        let Some(address) = caller.random_instance() else {
            return RequestOutcome::Unsent;
        };
        let outcome = if twice {
            let other = caller.random_instance().unwrap_or(address);
            let (a, b) = tokio::join!(caller.send_to(address, spec), caller.send_to(other, spec));
            if a == RequestOutcome::Good { a } else { b }
        } else {
            caller.send_to(address, spec).await
        };
        match outcome {
            RequestOutcome::Good => return RequestOutcome::Good,
            RequestOutcome::Refused(Outcome::NotRun, _) | RequestOutcome::Unsent => last = outcome,
            other => uncertain = Some(other),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    uncertain.unwrap_or(last)
}
