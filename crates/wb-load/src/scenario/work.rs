//! Steps that send requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wb_types::outcome::Outcome;

use super::Arguments;
use super::Scenario;
use crate::caller::Ask;
use crate::caller::Caller;
use crate::caller::Fate;

/// Requests in progress at a time.
const AT_A_TIME: usize = 16;
/// Pause of a caller before it tries again.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait of a caller for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Size of an upload, in bytes.
const UPLOAD: usize = 2 * 1024 * 1024;

impl Scenario {
    pub(super) fn caller(&mut self) -> eyre::Result<Arc<Caller>> {
        let entries = self.fleet()?.callers();
        Ok(Arc::new(Caller::new("key-of-all-services", entries)))
    }

    /// Lookups; a caller that is refused or cut off tries again.
    pub(super) async fn lookups(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count = arguments.number("count")?;
        let tries = arguments.number_or("tries", 40)?;
        let caller = self.caller()?;
        let asks = (0..count).map(|index| lookup("registry", index));
        let fates = all(&caller, asks.collect(), tries).await;
        let number = |wanted: Fate| fates.iter().filter(|fate| **fate == wanted).count();
        Ok(format!(
            "good {} wrong {} short {}",
            number(Fate::Good),
            number(Fate::Wrong),
            number(Fate::Short)
        ))
    }

    pub(super) async fn lookups_now(&mut self, service: &str, count: usize) -> eyre::Result<()> {
        let caller = self.caller()?;
        let asks = (0..count).map(|index| lookup(service, index));
        all(&caller, asks.collect(), 1).await;
        Ok(())
    }

    /// Orders under tickets, each sent until the caller knows; every fourth is sent twice.
    pub(super) async fn send_orders(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count = arguments.number("count")?;
        let caller = self.caller()?;
        let mut told: HashMap<String, Fate> = HashMap::new();
        let mut left: usize = count;
        while left > 0 {
            let batch = left.min(AT_A_TIME);
            left -= batch;
            let tickets = caller.tickets(batch).await;
            let first = self.orders;
            self.orders += batch;
            let orders = (first..).zip(tickets).map(|(index, ticket)| {
                let mut ask = Ask::order("registry", &format!("scenario-{index}"), 2.0);
                ask.key = Some(ticket);
                ask.patience = PATIENCE;
                let caller = caller.clone();
                tokio::spawn(async move {
                    let fate = order(&caller, &ask, index % 4 == 0).await;
                    (ask.order.unwrap_or_default(), fate)
                })
            });
            for ended in futures::future::join_all(orders.collect::<Vec<_>>()).await {
                let (order, fate) = ended?;
                told.insert(order, fate);
            }
        }
        self.judge_orders(&told, arguments.has("flow")).await
    }

    async fn judge_orders(
        &mut self,
        told: &HashMap<String, Fate>,
        flow: bool,
    ) -> eyre::Result<String> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let ledger = self.fleet()?.ledger().await?;
        let ran: HashMap<&str, u32> = ledger
            .iter()
            .map(|count| (count.order.as_str(), count.times))
            .collect();
        let times = |order: &str| ran.get(order).copied().unwrap_or(0);
        let twice = told.keys().filter(|order| times(order) > 1).count();
        let lies = told.iter().filter(|(order, fate)| {
            matches!(fate, Fate::Refused(Outcome::NotRun, _) | Fate::Unsent) && times(order) > 0
        });
        let phantoms = told
            .iter()
            .filter(|(order, fate)| **fate == Fate::Good && times(order) == 0);
        let mut text = format!(
            "run twice {twice}, told not run but run {}, told done but not run {}",
            lies.count(),
            phantoms.count()
        );
        if flow {
            let done = told.values().filter(|fate| **fate == Fate::Good).count();
            text.push_str(&format!(", done {done}"));
        }
        Ok(text)
    }

    /// Begins uploads that take a time at the backend server.
    pub(super) async fn begin_uploads(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let count: usize = arguments.number("count")?;
        let millis = arguments.number("ms")?;
        let caller = self.caller()?;
        let body = Bytes::from(vec![3; UPLOAD]);
        for index in 0..count {
            let path = format!("/photos/{index}");
            let ask = Ask::upload("pattern", &path, body.clone(), millis);
            let caller = caller.clone();
            self.uploads
                .push(tokio::spawn(async move { caller.send(&ask).await }));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(String::new())
    }

    /// Waits for the uploads.
    pub(super) async fn join_uploads(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let mut good = 0;
        let mut others = Vec::new();
        for upload in self.uploads.drain(..) {
            match upload.await? {
                Fate::Good => good += 1,
                other => others.push(format!("{other:?}")),
            }
        }
        if arguments.has("lost") {
            let lost = others.iter().filter(|fate| !fate.contains("NotRun"));
            return Ok(format!("lost {}", lost.count()));
        }
        Ok(format!("good {good} others {others:?}"))
    }
}

fn lookup(service: &str, index: usize) -> Ask {
    Ask {
        patience: PATIENCE,
        ..Ask::lookup(service, &format!("/stock/{index}"), 2.0)
    }
}

/// Sends requests, some at a time, each up to a number of tries.
async fn all(caller: &Arc<Caller>, asks: Vec<Ask>, tries: usize) -> Vec<Fate> {
    let mut fates = Vec::new();
    for batch in asks.chunks(AT_A_TIME) {
        let sent = batch.iter().cloned().map(|ask| {
            let caller = caller.clone();
            tokio::spawn(async move { until_good(&caller, &ask, tries).await })
        });
        let ended = futures::future::join_all(sent.collect::<Vec<_>>()).await;
        fates.extend(ended.into_iter().filter_map(Result::ok));
    }
    fates
}

async fn until_good(caller: &Caller, ask: &Ask, tries: usize) -> Fate {
    let mut fate = Fate::Unsent;
    for attempt in 0..tries {
        fate = caller.send(ask).await;
        if matches!(fate, Fate::Good | Fate::Wrong | Fate::Short) {
            return fate;
        }
        caller.forget(&ask.service);
        if attempt + 1 < tries {
            tokio::time::sleep(PAUSE).await;
        }
    }
    fate
}

/// Sends an order until the caller knows, at most five times, through any instance.
async fn order(caller: &Caller, ask: &Ask, twice: bool) -> Fate {
    let mut maybe = None;
    let mut last = Fate::Unsent;
    for _ in 0..5 {
        let Some(address) = caller.any() else {
            return Fate::Unsent;
        };
        let fate = if twice {
            let other = caller.any().unwrap_or(address);
            let (a, b) = tokio::join!(caller.send_to(address, ask), caller.send_to(other, ask));
            if a == Fate::Good { a } else { b }
        } else {
            caller.send_to(address, ask).await
        };
        match fate {
            Fate::Good => return Fate::Good,
            Fate::Refused(Outcome::NotRun, _) | Fate::Unsent => last = fate,
            other => maybe = Some(other),
        }
        tokio::time::sleep(PAUSE).await;
    }
    maybe.unwrap_or(last)
}
