//! Synchronization of the routes.

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
use super::CallMonitor;
use super::log_errors;
use crate::Context;
use crate::context::State;
use crate::peers::allowance;
use crate::peers::snapshot;
use crate::platform::Error;
use crate::platform::Routes;

/// Time after which the platform answers a long poll for newer routes that finds none.
const POLL_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause after newer routes, so that edits in quick succession are read together; short compared
/// with the time in which they must take effect.
const COALESCE_PAUSE: Duration = Duration::from_millis(250);
/// Shortest wait after a failed call, also if newer routes are announced all the time.
const URGENT_WAIT: Duration = Duration::from_millis(100);
/// Time for the platform to answer before other instances are asked as well: a few usual response
/// times.
const PEER_DELAY: Duration = Duration::from_millis(300);
/// Number of instances that are asked in parallel.
const PEERS_MAX: usize = 3;

/// Follows the routes until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("routes");
    let mut backoff = Backoff::new();
    let mut urgent = false;
    loop {
        let result = poll(&context, std::mem::take(&mut urgent)).await;
        monitor.record(&context, &result);
        match result {
            Ok(routes) => {
                backoff.reset();
                if accept(&context, routes, "platform") {
                    tokio::time::sleep(COALESCE_PAUSE).await;
                }
            }
            Err(Error::Compacted) => context.state().read_version = 0,
            Err(_) => {
                sync_from_peers(&context).await;
                tokio::time::sleep(URGENT_WAIT).await;
                tokio::select! {
                    () = backoff.wait() => {}
                    // Another instance may have newer routes.
                    () = context.routes_wakeup.notified() => urgent = true,
                }
            }
        }
    }
}

/// Waits for newer routes. Reads the newest at once if that is `urgent`, none are known yet or
/// another instance announces newer ones.
async fn poll(context: &Context, urgent: bool) -> Result<Routes, Error> {
    let version = context.state().read_version;
    if urgent || version == 0 {
        return fetch_newest(context).await;
    }
    tokio::select! {
        result = context.catalog.watch_routes(version, POLL_TIMEOUT) => result,
        () = context.routes_wakeup.notified() => fetch_newest(context).await,
    }
}

/// Reads the newest routes from the platform. If it is slow or fails, which may concern this
/// instance alone, or has lost the newest ones, also reads them from the instance that has announced
/// newer ones.
async fn fetch_newest(context: &Context) -> Result<Routes, Error> {
    let call = context.catalog.routes();
    tokio::pin!(call);
    match tokio::time::timeout(PEER_DELAY, &mut call).await {
        Ok(Ok(routes)) => {
            if has_newer_peer(context, &routes) {
                fetch_from_peers(context).await;
            }
            Ok(routes)
        }
        Ok(failed) => {
            fetch_from_peers(context).await;
            failed
        }
        Err(_) => tokio::join!(call, fetch_from_peers(context)).0,
    }
}

/// Whether another instance has announced newer routes than these.
fn has_newer_peer(context: &Context, routes: &Routes) -> bool {
    let version = routes.table.as_ref().map_or(0, |table| table.version);
    let announced = context.state().newer_peer;
    announced.is_some_and(|(_, announced)| announced > version)
}

/// Reads the routes from the instance that has announced newer ones and from some homes in
/// parallel, since the path to one of them may lose packets. Uses the first newer routes.
async fn fetch_from_peers(context: &Context) {
    let addresses = {
        let mut state = context.state();
        let Some((newer_peer, _)) = state.newer_peer.take() else {
            return;
        };
        let others = state.steering.home_peers();
        let others = others.into_iter().filter(|other| *other != newer_peer);
        let mut addresses = vec![newer_peer];
        addresses.extend(others.choose_multiple(&mut rand::rng(), PEERS_MAX - 1));
        addresses
    };
    let calls = addresses.into_iter();
    let calls = calls.map(|address| snapshot::fetch_routes(context, address));
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(fetched) = calls.next().await {
        if let Some(table) = fetched
            && apply(context, &mut context.state(), table, "peer")
        {
            return;
        }
    }
}

/// Asks for newer routes beside the long poll: another table has shown that there may be some, and the
/// response of the poll may be lost. Newer ones mean that it is, so a new one is sent.
pub async fn check(context: Arc<Context>) {
    let Ok(_running) = context.routes_check.try_lock() else {
        return;
    };
    let version = context.state().read_version;
    if version == 0 {
        return;
    }
    let result = context.catalog.watch_routes(version, Duration::ZERO).await;
    CallMonitor::new("routes_check").record(&context, &result);
    match result {
        Ok(routes) => {
            if accept(&context, routes, "check") {
                context.routes_wakeup.notify_one();
            }
        }
        Err(Error::Compacted) => {
            context.state().read_version = 0;
            context.routes_wakeup.notify_one();
        }
        // The next response on the other table leads to another check.
        Err(_) => {}
    }
}

/// Applies routes read from the platform if they are newer than those in use, or other ones of the
/// same version: a platform that has lost routes may be given others under their version. Returns
/// whether they are applied.
pub fn accept(context: &Context, routes: Routes, source: &'static str) -> bool {
    log_errors(&routes.errors);
    let now = context.now();
    let mut state = context.state();
    state.read_version = state.read_version.max(routes.read_version);
    state.routes_coverage.record_read(routes.read_version);
    state.routes_confirmed = now;
    let Some(table) = routes.table else {
        return false;
    };
    let rewritten = state
        .routes
        .as_ref()
        .is_some_and(|routes| routes.version == table.version && **routes != table);
    if rewritten {
        put_in_force(context, &mut state, table, source);
        return true;
    }
    apply(context, &mut state, table, source)
}

fn apply(context: &Context, state: &mut State, table: RouteTable, source: &'static str) -> bool {
    let before = state.routes.as_ref().map(|routes| routes.version);
    if before.is_some_and(|before| table.version <= before) {
        return false;
    }
    put_in_force(context, state, table, source);
    true
}

fn put_in_force(context: &Context, state: &mut State, table: RouteTable, source: &'static str) {
    let now = context.now();
    let before = state.routes.as_ref().map(|routes| routes.version);
    line!(
        Event::RoutesApplied,
        version = table.version,
        before = before,
        routes = table.len(),
        source = source
    );
    if !table.teams.is_empty() {
        line!(
            Event::TeamsApplied,
            version = table.version,
            teams = table.teams.team_count(),
            keys = table.teams.key_count(),
            public = table.teams.public_route_count()
        );
    }
    context.metrics.routes_version.set(table.version as i64);
    let first = state.routes.is_none();
    state.routes = Some(Arc::new(table));
    state.routes_since = now;
    allowance::apply_teams(state);
    if first {
        line!(Event::Ready, servers = state.listing.entries().len());
    }
    state.apply_listing(context, now);
}

/// Reads a snapshot from a home or a seed, while the platform does not answer.
async fn sync_from_peers(context: &Context) {
    let mut addresses = context.state().steering.home_peers();
    addresses.extend(&context.settings.seeds);
    for address in addresses.into_iter().take(2) {
        if sync_from(context, address).await {
            return;
        }
    }
}

/// Reads and applies a snapshot of another instance. Returns whether the instance answered.
async fn sync_from(context: &Context, address: SocketAddr) -> bool {
    let Some(mut snapshot) = snapshot::fetch(context, address).await else {
        return false;
    };
    let routes = snapshot.take_routes(address);
    let now = context.now();
    let mut state = context.state();
    for card in snapshot.cards {
        state.steering.add_peer(card, now);
    }
    if let Some(table) = routes {
        apply(context, &mut state, table, "peer");
    }
    let behind = snapshot.read_version > state.listing.read_version();
    if let Some(version) = snapshot.read_version.filter(|_| behind) {
        let changes = state.listing.replace(version, snapshot.rows, now);
        super::servers::log_lapses(context, &mut state, version, "peer");
        super::servers::apply_changes(context, &mut state, &changes, "peer");
    }
    true
}
