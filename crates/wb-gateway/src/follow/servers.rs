//! Synchronization of the server list.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::listing::Update;
use wb_members::listing::freshness::Announcement;
use wb_members::listing::freshness::Call;
use wb_members::listing::freshness::ReadCause;
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

/// Shortest time between two checks whether the list has to be read.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of homes that follow the list and broadcast its changes: more than may fail together.
const WATCHERS: usize = 4;
/// Most changes in one datagram.
const CHANGES_MAX: usize = 8;

/// How the list is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// All rows.
    Whole,
    /// The changes since the last read, for which the platform may wait.
    Changes { wait: Duration },
}

/// Follows the server list until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("servers");
    let mut backoff = Backoff::new();
    let mut watching = false;
    loop {
        let Some(reading) = next_reading(&context, &mut watching) else {
            wait_until_due(&context).await;
            continue;
        };
        let begin = context.now();
        let mut result = read(&context, reading).await;
        monitor.record(&context, &result);
        if result == Err(Error::Compacted) {
            result = read_all(&context).await;
            monitor.record(&context, &result);
        }
        match result {
            Ok(()) => {
                backoff.reset();
                let pause = if watching {
                    pause(&context)
                } else {
                    CHECK_INTERVAL
                };
                tokio::time::sleep(pause).await;
            }
            Err(err) => {
                if err.is_outage() {
                    context.state().listing.record_failure(begin, context.now());
                }
                watching &= reading != Reading::Whole;
                backoff.wait().await;
            }
        }
    }
}

fn pause(context: &Context) -> Duration {
    context.state().freshness.times().pause
}

/// Waits until the list may have to be read.
async fn wait_until_due(context: &Context) {
    let due = context.state().freshness.next_read();
    let wait = due.saturating_sub(context.now()).max(CHECK_INTERVAL);
    // Either end of the wait leads to the same check.
    let _ = tokio::time::timeout(wait, context.servers_wakeup.notified()).await;
}

/// How the list has to be read now; `None` if it needn't be. `watching` is whether this instance
/// has broadcast its changes so far.
fn next_reading(context: &Context, watching: &mut bool) -> Option<Reading> {
    let now = context.now();
    let mut state = context.state();
    let state = &mut *state;
    let watched = std::mem::replace(watching, is_watcher(state));
    // Instances that broadcast the changes keep removed rows that may have lapsed to themselves. So
    // one that begins to do so reads all rows.
    if state.listing.read_version().is_none() || (*watching && !watched) {
        return Some(Reading::Whole);
    }
    let cause = state.freshness.read_cause(state.listing.state(), now);
    let reading = match cause {
        Some(ReadCause::Differs) => {
            state.freshness.record_reread(now);
            Reading::Whole
        }
        _ if *watching => {
            let wait = state.freshness.times().poll;
            return Some(Reading::Changes { wait });
        }
        Some(_) => Reading::Changes {
            wait: Duration::ZERO,
        },
        None => return None,
    };
    line!(
        Event::RosterStale,
        reason = cause.map(<&str>::from),
        version = state.listing.content_version(),
        digest = state.listing.digest(),
        age_ms = state.listing_age(now).as_millis() as u64
    );
    Some(reading)
}

fn is_watcher(state: &State) -> bool {
    let own = &state.steering.own_card().name;
    let watchers = state.steering.homes().iter().take(WATCHERS);
    watchers.into_iter().any(|name| name == own)
}

async fn read(context: &Arc<Context>, reading: Reading) -> Result<(), Error> {
    let version = context.state().listing.read_version();
    let (Reading::Changes { wait }, Some(version)) = (reading, version) else {
        return read_all(context).await;
    };
    let begin = context.now();
    let changes = context.catalog.watch_servers(version, wait).await?;
    observe_era(context, "servers");
    check_routes(context, version, &changes);
    // The platform answers without changes only when it has waited for them.
    let waited = if changes.rows.is_empty() {
        wait
    } else {
        Duration::ZERO
    };
    let end = context.now();
    let call = Call { begin, end, waited };
    accept(context, changes, call.complete_at());
    Ok(())
}

/// Reads the changes once more before lapsed entries are dropped, since servers may have registered
/// again after the last read.
pub async fn recheck(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("servers");
    let wait = Duration::ZERO;
    let result = read(&context, Reading::Changes { wait }).await;
    monitor.record(&context, &result);
}

/// Asks for newer routes if the platform has a version that is none of the servers'. Done by the
/// instances that broadcast the changes of the servers: the others learn of newer routes by their
/// heartbeats.
fn check_routes(context: &Arc<Context>, after: ListVersion, servers: &Servers) {
    let mut state = context.state();
    let versions = servers.rows.iter().map(|row| row.version);
    let coverage = &mut state.routes_coverage;
    coverage.record_other(after, servers.read_version, versions);
    if coverage.has_gap() && is_watcher(&state) {
        tokio::spawn(super::routes::check(context.clone()));
    }
}

async fn read_all(context: &Context) -> Result<(), Error> {
    let begin = context.now();
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
    log_lapses(context, &mut state, servers.read_version, "platform");
    match after {
        Some(after) => broadcast(context, &state, after, &changes),
        None => request_limits(context, &state),
    }
    self::apply_changes(context, &mut state, &changes, "platform");
    confirm(context, &mut state, begin);
    Ok(())
}

/// Asks the homes for the limits of the servers, which were unknown when the homes were found.
fn request_limits(context: &Context, state: &State) {
    let heartbeat = heartbeat::heartbeat(context, state, true);
    context.send_packet(heartbeat, state.steering.home_peers());
}

/// Applies changes that the platform has answered with, and that were complete at the time `seen`.
fn accept(context: &Context, servers: Servers, seen: Moment) {
    log_errors(&servers.errors);
    let now = context.now();
    let mut state = context.state();
    state.listing.record_success(now);
    let after = state.listing.content_version().unwrap_or(0);
    let changes = state.listing.apply(servers.read_version, servers.rows, now);
    log_lapses(context, &mut state, servers.read_version, "platform");
    broadcast(context, &state, after, &changes);
    self::apply_changes(context, &mut state, &changes, "platform");
    confirm(context, &mut state, seen);
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

/// Records that the server list was complete at the time `seen`. For how long that was not known
/// bounds how late the instance learns of a change.
pub fn confirm(context: &Context, state: &mut State, seen: Moment) {
    if let Some(gap) = state.freshness.confirm(seen) {
        context.metrics.listing_gap.observe(gap.as_secs_f64());
    }
}

/// Compares the server list with that of another instance.
pub fn compare(context: &Context, state: &mut State, other: Announcement) {
    let own = state.listing.state();
    let before = state.freshness.next_read();
    if state.freshness.compare(own, other, context.now()) {
        confirm(context, state, other.confirmed);
    }
    if state.freshness.next_read() < before {
        context.servers_wakeup.notify_one();
    }
}

/// Logs the removals that a read up to `read_version` deferred, since the servers may only have been
/// unable to write their rows.
pub fn log_lapses(
    context: &Context,
    state: &mut State,
    read_version: ListVersion,
    source: &'static str,
) {
    for (server, version) in state.listing.take_lapsed() {
        line!(
            Event::RosterChanged,
            server = server,
            change = "lapsed",
            version = version,
            upto = read_version,
            source = source
        );
        context.doubts_wakeup.notify_one();
    }
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
