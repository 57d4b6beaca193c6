//! Routes as the platform has them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use wb_event::Event;
use wb_event::line;
use wb_route::RouteTable;

use super::Backoff;
use super::Watch;
use super::report;
use crate::Context;
use crate::context::State;
use crate::peers::whole;
use crate::platform::Error;
use crate::platform::Routes;

/// Longest time that the platform holds a question for newer routes.
const WAIT: Duration = Duration::from_secs(25);
/// Pause after newer routes, so that edits in quick succession are read together; a small part of
/// the time in which they must be in force.
const GATHER: Duration = Duration::from_millis(250);
/// Wait for the platform's answer before another instance is asked, a few usual answers.
const PATIENCE: Duration = Duration::from_millis(300);
/// Instances that are asked at a time.
const WAYS: usize = 3;

/// Follows the routes until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut watch = Watch::new("routes");
    let mut backoff = Backoff::new();
    loop {
        let result = ask(&context).await;
        watch.note(&context, &result);
        match result {
            Ok(routes) => {
                backoff.reset();
                if take(&context, routes, "platform") {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(Error::Compacted) => context.state().route_mark = 0,
            Err(_) => {
                ask_peers(&context).await;
                tokio::select! {
                    () = backoff.wait() => {}
                    // Another instance has newer ones.
                    () = context.routes_due.notified() => context.routes_due.notify_one(),
                }
            }
        }
    }
}

/// Asks for newer routes; at once for the newest if none are known or another instance has some.
async fn ask(context: &Context) -> Result<Routes, Error> {
    let mark = context.state().route_mark;
    if mark == 0 {
        return newest(context).await;
    }
    tokio::select! {
        result = context.catalog.watch_routes(mark, WAIT) => result,
        () = context.routes_due.notified() => newest(context).await,
    }
}

/// Asks for the newest routes, and meanwhile the instance that has them, if the platform takes
/// long or is out of reach for this instance alone.
async fn newest(context: &Context) -> Result<Routes, Error> {
    let asked = context.catalog.routes();
    tokio::pin!(asked);
    match tokio::time::timeout(PATIENCE, &mut asked).await {
        Ok(Ok(routes)) => Ok(routes),
        Ok(failed) => {
            learn_routes(context).await;
            failed
        }
        Err(_) => tokio::join!(asked, learn_routes(context)).0,
    }
}

/// Takes the routes of the instance that has newer ones, or of another, whichever says first: the
/// path to one of them may lose packets.
async fn learn_routes(context: &Context) {
    let addresses = {
        let mut state = context.state();
        let Some(ahead) = state.ahead.take() else {
            return;
        };
        let others = state.steering.home_peers();
        let others = others.into_iter().filter(|other| *other != ahead);
        let mut addresses = vec![ahead];
        addresses.extend(others.choose_multiple(&mut rand::rng(), WAYS - 1));
        addresses
    };
    let asked = addresses.into_iter();
    let asked = asked.map(|address| whole::fetch_routes(context, address));
    let mut asked: FuturesUnordered<_> = asked.collect();
    while let Some(told) = asked.next().await {
        if let Some(table) = told
            && apply(context, &mut context.state(), table, "peer")
        {
            return;
        }
    }
}

/// Takes routes if they are newer than those in force. Returns whether they are.
pub fn take(context: &Context, routes: Routes, source: &'static str) -> bool {
    report(&routes.errors);
    let now = context.now();
    let mut state = context.state();
    state.route_mark = state.route_mark.max(routes.mark);
    state.routes_seen = now;
    let Some(table) = routes.table else {
        return false;
    };
    apply(context, &mut state, table, source)
}

fn apply(context: &Context, state: &mut State, table: RouteTable, source: &'static str) -> bool {
    let now = context.now();
    let before = state.routes.as_ref().map(|routes| routes.version);
    if before.is_some_and(|before| table.version <= before) {
        return false;
    }
    line!(
        Event::RoutesApplied,
        version = table.version,
        before = before,
        routes = table.len(),
        source = source
    );
    context.metrics.routes.set(table.version as i64);
    let first = state.routes.is_none();
    state.routes = Some(Arc::new(table));
    if first {
        line!(Event::Ready, servers = state.listing.entries().len());
    }
    state.spread(context, now);
    true
}

/// Takes what a home knows, while the platform does not answer.
async fn ask_peers(context: &Context) {
    let mut addresses = context.state().steering.home_peers();
    addresses.extend(&context.settings.seeds);
    for address in addresses.into_iter().take(2) {
        if learn(context, address).await {
            return;
        }
    }
}

/// Takes what another instance knows. Returns whether it said so.
async fn learn(context: &Context, address: SocketAddr) -> bool {
    let Some(whole) = whole::fetch(context, address).await else {
        return false;
    };
    let now = context.now();
    let mut state = context.state();
    for card in whole.cards {
        state.steering.add_peer(card, now);
    }
    if let Some(table) = whole.routes {
        apply(context, &mut state, table, "peer");
    }
    let behind = whole.listing > state.listing.read_version();
    if let Some(mark) = whole.listing.filter(|_| behind) {
        let changed = state.listing.replace(mark, whole.rows, now);
        super::servers::changed(context, &mut state, &changed, "peer");
    }
    true
}
