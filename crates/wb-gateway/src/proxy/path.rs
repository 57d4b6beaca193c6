//! What attempts show of this instance's path to the backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::SendOptions;
use wb_types::id::ServerName;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

use crate::Context;
use crate::context::State;
use crate::peers::heartbeat;

/// Interval at which an instance that reaches no servers opens a connection to one of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a connection counts as accepted for good.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Interval at which an instance looks whether too few requests fail to tell that it reaches no servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which a server must accept a connection for good.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Servers in a row that must accept a connection until requests are sent there again.
const PROBES_MIN: u32 = 2;

/// Other servers that show whether the path to one is open.
const WITNESSES: usize = 3;

/// Records that a server did not respond, or could not be connected.
pub fn record_failure(context: &Context, server: &ServerName) {
    let now = context.now();
    let mut state = context.state();
    let usable = usable_count(&state, server);
    if !state.reach.record_failure(server, usable, now) {
        return;
    }
    begin_cut(context, &mut state);
}

fn begin_cut(context: &Context, state: &mut State) {
    log_change(context, state);
    heartbeat::announce_path(context, state);
    context.path_wakeup.notify_one();
    // Connections that are silent would take the first requests after the cut.
    context.pool.close_all_idle();
}

/// Number of usable servers of a server's service; `None` if it has left the list or none is usable.
fn usable_count(state: &State, server: &ServerName) -> Option<usize> {
    let entry = state.listing.entries().get(server)?;
    let service = state.services.get(&entry.server.service)?;
    Some(service.balancer.usable_count()).filter(|count| *count > 0)
}

/// Records that a server responded.
pub fn record_success(context: &Context, state: &mut State) {
    let is_first = state.reach.awaits_response();
    if state.reach.record_success(context.now()) {
        end_cut(context, state);
    } else if is_first {
        // Instances that are still cut off learn from it that the servers are up.
        heartbeat::announce_path(context, state);
    }
}

fn end_cut(context: &Context, state: &mut State) {
    log_change(context, state);
    // What this instance holds against the servers was its own fault.
    let now = context.now();
    for service in state.services.values_mut() {
        service.balancer.retract_evidence();
        service.release_queued(now);
    }
    heartbeat::announce_path(context, state);
}

/// Opens connections to servers where requests can't show whether this instance reaches them: while it is cut off,
/// and while it sends too few. Runs until the daemon ends.
pub async fn probe(context: Arc<Context>) {
    loop {
        let woken = context.path_wakeup.notified();
        // Whether there are too few requests depends on time alone, so nothing wakes this task for it.
        let _ = tokio::time::timeout(CHECK_INTERVAL, woken).await;
        if context.state().reach.needs_check(context.now()) {
            check(&context).await;
        }
        await_return(&context).await;
    }
}

/// Finds out by connections whether this instance reaches some server.
async fn check(context: &Context) {
    let servers = choose_servers(context, None, WITNESSES);
    if servers.is_empty() {
        return;
    }
    let accepting = servers.iter().map(|server| accepts(context, server));
    let accepted = any(accepting, ACCEPT_TIMEOUT).await;
    let mut state = context.state();
    if state.reach.record_check(accepted, context.now()) {
        begin_cut(context, &mut state);
    }
}

/// Waits until this instance, if it reaches no servers, reaches them again.
async fn await_return(context: &Context) {
    let mut accepted = 0;
    while context.state().reach.is_cut() {
        if accepted == 0 {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let servers = choose_servers(context, None, 1);
        let accepting = servers.iter().map(|server| accepts(context, server));
        accepted = if any(accepting, ACCEPT_TIMEOUT).await {
            accepted + 1
        } else {
            0
        };
        if accepted >= PROBES_MIN {
            let mut state = context.state();
            if state.reach.record_return(context.now()) {
                end_cut(context, &mut state);
            }
        }
    }
}

/// Whether a server accepts a connection for good, which is kept for later requests.
async fn accepts(context: &Context, server: &Server) -> bool {
    open(context, server).await && {
        tokio::time::sleep(SETTLE_TIME).await;
        context.pool.has_idle(server.address)
    }
}

/// Opens a connection to a server.
async fn open(context: &Context, server: &Server) -> bool {
    let options = SendOptions::new(server.slots, true);
    let opened = context.pool.open(server.address, options).await;
    opened.is_ok()
}

/// Whether a server that refuses connections has ended, and not the path to all of them: another server
/// accepts one within `timeout`, or no other instance is served any better.
pub async fn is_open(context: &Context, refused: SocketAddr, timeout: Duration) -> bool {
    let others = choose_servers(context, Some(refused), WITNESSES);
    let opening = others.iter().map(|server| open(context, server));
    any(opening, timeout).await || !context.state().reach.peers_are_served(context.now())
}

/// Whether one of some checks holds within `timeout`.
async fn any(checks: impl Iterator<Item = impl Future<Output = bool>>, timeout: Duration) -> bool {
    let checks: FuturesUnordered<_> = checks.collect();
    let first = checks.any(|holds| async move { holds });
    tokio::time::timeout(timeout, first).await == Ok(true)
}

/// Chooses at most `count` servers in use, other than that at an address.
fn choose_servers(context: &Context, other: Option<SocketAddr>, count: usize) -> Vec<Server> {
    let state = context.state();
    let servers = state.listing.servers();
    let servers = servers.filter(|(entry, lifecycle)| {
        *lifecycle == Lifecycle::Live && Some(entry.server.address) != other
    });
    let chosen = servers.choose_multiple(&mut rand::rng(), count);
    let servers = chosen.into_iter().map(|(entry, _)| entry.server.clone());
    servers.collect()
}

fn log_change(context: &Context, state: &State) {
    let now = context.now();
    let reach = &state.reach;
    let millis = |age: Duration| age.as_millis() as u64;
    context
        .metrics
        .servers_unreachable
        .set(i64::from(reach.is_cut()));
    line!(
        Event::ServersUnreachable,
        cut = reach.is_cut(),
        failed = reach.failed_count(),
        success_ms = reach.success_age(now).map(millis),
        peer_success_ms = reach.peer_success_age(now).map(millis)
    );
}
