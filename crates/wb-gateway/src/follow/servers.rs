//! Backend servers as the platform has them.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_members::listing::RowChange;
use wb_members::listing::Update;
use wb_types::roster::Lifecycle;

use super::Backoff;
use super::Watch;
use super::report;
use crate::Context;
use crate::context::State;
use crate::peers::Packet;
use crate::platform::Error;
use crate::platform::Servers;

/// Longest time that the platform holds a question for changes. Servers write all the time, so
/// that no answer for longer means that the platform is in trouble.
const WAIT: Duration = Duration::from_millis(1500);
/// Pause between questions: changes of this time are read together. A third of the time after which
/// a server that leaves must get nothing more.
const GATHER: Duration = Duration::from_millis(600);
/// Pause between looks whether the list has to be asked for.
const LOOK: Duration = Duration::from_millis(300);
/// Homes that follow the list and tell the others: some more than may fail together.
const FOLLOWERS: usize = 4;
/// Age of the list at which an instance that is no home asks for itself.
const STALE: Duration = Duration::from_millis(1700);
/// Changes told in one packet.
const CHANGES_MAX: usize = 8;

/// Follows the servers until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut watch = Watch::new("servers");
    let mut backoff = Backoff::new();
    loop {
        if !is_due(&context) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let begin = context.now();
        let result = ask(&context).await;
        watch.note(&context, &result);
        match result {
            Ok(()) => {
                backoff.reset();
                tokio::time::sleep(GATHER).await;
            }
            Err(Error::Compacted) => reread(&context).await,
            Err(_) => {
                context.state().listing.record_failure(begin, context.now());
                backoff.wait().await;
            }
        }
    }
}

fn is_due(context: &Context) -> bool {
    let state = context.state();
    let age = context.now().saturating_sub(state.listing_seen);
    state.listing.read_version().is_none() || is_follower(&state) || age > STALE
}

fn is_follower(state: &State) -> bool {
    let own = &state.steering.own_card().name;
    let followers = state.steering.homes().iter().take(FOLLOWERS);
    followers.into_iter().any(|name| name == own)
}

async fn ask(context: &Context) -> Result<(), Error> {
    let Some(mark) = context.state().listing.read_version() else {
        return read(context).await;
    };
    let changes = context.catalog.watch_servers(mark, WAIT).await?;
    take(context, changes);
    Ok(())
}

async fn reread(context: &Context) {
    let begin = context.now();
    if let Err(err) = read(context).await {
        line!(
            Event::PlatformDown,
            call = "servers",
            error = err.to_string()
        );
        context.state().listing.record_failure(begin, context.now());
    }
}

async fn read(context: &Context) -> Result<(), Error> {
    let servers = context.catalog.servers().await?;
    report(&servers.errors);
    let now = context.now();
    let mut state = context.state();
    state.listing.record_success(now);
    let changed = state.listing.replace(servers.mark, servers.rows, now);
    state.listing_seen = now;
    self::changed(context, &mut state, &changed, "platform");
    Ok(())
}

fn take(context: &Context, servers: Servers) {
    report(&servers.errors);
    let now = context.now();
    let mut state = context.state();
    state.listing.record_success(now);
    let after = state.listing.content_version();
    let changed = state.listing.apply(servers.mark, servers.rows, now);
    state.listing_seen = now;
    tell(context, &state, after, &changed);
    self::changed(context, &mut state, &changed, "platform");
}

/// Tells all other instances what changed after a version, if this one is a home.
fn tell(context: &Context, state: &State, after: Option<u64>, changed: &[RowChange]) {
    if !is_follower(state) || changed.is_empty() {
        return;
    }
    let to = state.steering.peer_addresses();
    let chunks = changed.chunks(CHANGES_MAX);
    let parts = chunks.len() as u32;
    for (part, chunk) in (0..).zip(chunks) {
        let update = Update {
            after: after.unwrap_or(0),
            upto: state.listing.content_version().unwrap_or(0),
            part,
            parts,
            changes: chunk.to_vec(),
        };
        context.tell(Packet::Servers(update), to.clone());
    }
}

/// Drops entries that the platform lost and whose servers did not come back.
pub fn expire(context: &Context, state: &mut State) {
    let after = state.listing.content_version();
    let changed = state.listing.expire(context.now());
    tell(context, state, after, &changed);
    self::changed(context, state, &changed, "lapse");
}

/// Puts changes of the list in force.
pub fn changed(context: &Context, state: &mut State, changed: &[RowChange], source: &'static str) {
    if changed.is_empty() {
        return;
    }
    for change in changed {
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
    state.spread(context, context.now());
}
