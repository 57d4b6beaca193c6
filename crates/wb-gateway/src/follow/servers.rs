//! Synchronization of the server list.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::listing::Update;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;

use super::Backoff;
use super::CallMonitor;
use super::log_errors;
use super::observe_era;
use crate::Context;
use crate::context::State;
use crate::peers::Packet;
use crate::peers::heartbeat;
use crate::platform::Error;
use crate::platform::Servers;

/// Time after which the platform answers a long poll for changes that finds none. Servers write
/// their rows all the time, so no answer for longer means that the platform is in trouble.
const POLL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between polls, so that the changes of this time are read together: a third of the time
/// after which a server that leaves must not receive any more requests.
const COALESCE_PAUSE: Duration = Duration::from_millis(600);
/// Interval at which an instance that does not follow the list checks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Number of homes that follow the list and broadcast its changes: more than may fail together.
const WATCHERS: usize = 4;
/// Age of the list at which an instance that does not broadcast it reads it itself.
const STALE_AGE: Duration = Duration::from_millis(1700);
/// Most changes in one datagram.
const CHANGES_MAX: usize = 8;

/// Follows the server list until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("servers");
    let mut backoff = Backoff::new();
    loop {
        if !is_due(&context) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let begin = context.now();
        let result = poll(&context).await;
        monitor.record(&context, &result);
        match result {
            Ok(()) => {
                backoff.reset();
                tokio::time::sleep(COALESCE_PAUSE).await;
            }
            Err(Error::Compacted) => reread_all(&context).await,
            Err(_) => {
                context.state().listing.record_failure(begin, context.now());
                backoff.wait().await;
            }
        }
    }
}

fn is_due(context: &Context) -> bool {
    let state = context.state();
    let age = state.listing_age(context.now());
    if state.listing.read_version().is_none() || is_watcher(&state) {
        return true;
    }
    if age <= STALE_AGE {
        return false;
    }
    line!(
        Event::RosterStale,
        reason = "age",
        version = state.listing.content_version(),
        age_ms = age.as_millis() as u64
    );
    true
}

fn is_watcher(state: &State) -> bool {
    let own = &state.steering.own_card().name;
    let watchers = state.steering.homes().iter().take(WATCHERS);
    watchers.into_iter().any(|name| name == own)
}

async fn poll(context: &Context) -> Result<(), Error> {
    let Some(version) = context.state().listing.read_version() else {
        return read_all(context).await;
    };
    let changes = context.catalog.watch_servers(version, POLL_TIMEOUT).await?;
    observe_era(context, "servers");
    accept(context, changes);
    Ok(())
}

async fn reread_all(context: &Context) {
    let begin = context.now();
    if let Err(err) = read_all(context).await {
        line!(
            Event::PlatformDown,
            call = "servers",
            error = err.to_string()
        );
        context.state().listing.record_failure(begin, context.now());
    }
}

async fn read_all(context: &Context) -> Result<(), Error> {
    let servers = context.catalog.servers().await?;
    observe_era(context, "servers");
    log_errors(&servers.errors);
    let now = context.now();
    let mut state = context.state();
    state.listing.record_success(now);
    let after = state.listing.content_version();
    let changes = state
        .listing
        .replace(servers.read_version, servers.rows, now);
    match after {
        Some(after) => broadcast(context, &state, after, &changes),
        None => request_limits(context, &state),
    }
    self::apply_changes(context, &mut state, &changes, "platform");
    confirm(context, &mut state, now);
    Ok(())
}

/// Asks the homes for the limits of the servers, which were unknown when the homes were found.
fn request_limits(context: &Context, state: &State) {
    let heartbeat = heartbeat::heartbeat(context, state, true);
    context.send_packet(heartbeat, state.steering.home_peers());
}

fn accept(context: &Context, servers: Servers) {
    log_errors(&servers.errors);
    let now = context.now();
    let mut state = context.state();
    state.listing.record_success(now);
    let after = state.listing.content_version().unwrap_or(0);
    let changes = state.listing.apply(servers.read_version, servers.rows, now);
    broadcast(context, &state, after, &changes);
    self::apply_changes(context, &mut state, &changes, "platform");
    confirm(context, &mut state, now);
}

/// Broadcasts what changed after a version, if this instance is one of those that follow the list.
/// Without changes, the others learn that their list is that of a newer version.
fn broadcast(context: &Context, state: &State, after: ListVersion, changes: &[RowChange]) {
    let upto = state.listing.content_version().unwrap_or(0);
    if !is_watcher(state) || (changes.is_empty() && after == upto) {
        return;
    }
    let to = state.steering.peer_addresses();
    let mut chunks: Vec<&[RowChange]> = changes.chunks(CHANGES_MAX).collect();
    if chunks.is_empty() {
        chunks.push(&[]);
    }
    let parts = chunks.len() as u32;
    let id = rand::random();
    for (part, chunk) in (0..).zip(chunks) {
        let update = Update {
            after,
            upto,
            part,
            parts,
            changes: chunk.to_vec(),
            id,
        };
        context.send_packet(Packet::Servers(update), to.clone());
    }
}

/// Drops entries of servers whose rows the platform has lost and that have not written them again.
pub fn expire(context: &Context, state: &mut State) {
    let after = state.listing.content_version().unwrap_or(0);
    let changes = state.listing.expire(context.now());
    broadcast(context, state, after, &changes);
    self::apply_changes(context, state, &changes, "lapse");
}

/// Records that the server list was complete at the time `seen`. The time between two such moments
/// bounds how late the instance learns of a change.
pub fn confirm(context: &Context, state: &mut State, seen: Moment) {
    if seen <= state.listing_confirmed {
        return;
    }
    let gap = seen - state.listing_confirmed;
    context.metrics.listing_gap.observe(gap.as_secs_f64());
    state.listing_confirmed = seen;
}

/// Logs changes of the server list and passes the list on to the services.
pub fn apply_changes(
    context: &Context,
    state: &mut State,
    changes: &[RowChange],
    source: &'static str,
) {
    if changes.is_empty() {
        return;
    }
    line!(
        Event::RosterVersion,
        version = state.listing.content_version(),
        digest = state.listing.digest(),
        servers = state.listing.entries().len(),
        lapsed = state.listing.lapsed_count(),
        changes = changes.len(),
        age_ms = state.listing_age(context.now()).as_millis() as u64,
        source = source
    );
    for change in changes {
        let entry = change.entry.as_ref();
        let kind = match entry {
            None => "gone",
            Some(entry) if entry.server.lifecycle == Lifecycle::Leaving => "leaving",
            Some(_) => "listed",
        };
        line!(
            Event::RosterChanged,
            server = change.name,
            change = kind,
            service = entry.map(|entry| &entry.server.service),
            version = change.version,
            source = source
        );
    }
    state.apply_listing(context, context.now());
}
