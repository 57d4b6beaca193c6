//! Backend servers as the platform has them.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_members::listing::Entry;
use wb_members::listing::Update;
use wb_types::id::ServerName;
use wb_types::roster::Stay;

use super::Backoff;
use super::Watch;
use super::report;
use crate::Context;
use crate::context::State;
use crate::peers::Packet;
use crate::port::Changes;
use crate::port::Error;

/// Longest time that the platform holds a question for changes. Servers write all the time, so
/// that no answer for longer means that the platform is impaired.
const WAIT: Duration = Duration::from_millis(1500);
/// Pause between questions: changes of this time are read together.
const GATHER: Duration = Duration::from_millis(350);
/// Age of the list at which an instance that is no home asks for itself.
const STALE: Duration = Duration::from_millis(1700);
/// Changes told in one packet.
const CHANGES_MAX: usize = 6;

/// Follows the servers until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut watch = Watch::new("servers");
    let mut backoff = Backoff::new();
    loop {
        if !is_due(&context) {
            tokio::time::sleep(GATHER).await;
            continue;
        }
        let result = ask(&context).await;
        watch.note(&context, &result);
        let now = context.now();
        match result {
            Ok(()) => {
                backoff.reset();
                expire(&context);
                tokio::time::sleep(GATHER).await;
            }
            Err(Error::Forgotten) => reread(&context).await,
            Err(_) => {
                context.state().listing.failed(now);
                backoff.wait().await;
            }
        }
    }
}

fn is_due(context: &Context) -> bool {
    let state = context.state();
    let age = context.now().saturating_sub(state.listing_seen);
    state.listing.mark().is_none() || state.steering.is_home() || age > STALE
}

async fn ask(context: &Context) -> Result<(), Error> {
    let Some(mark) = context.state().listing.mark() else {
        return read(context).await;
    };
    let changes = context.catalog.next_servers(mark, WAIT).await?;
    take(context, changes);
    Ok(())
}

async fn reread(context: &Context) {
    if let Err(err) = read(context).await {
        line!(
            Event::PlatformDown,
            call = "servers",
            error = err.to_string()
        );
        context.state().listing.failed(context.now());
    }
}

async fn read(context: &Context) -> Result<(), Error> {
    let servers = context.catalog.servers().await?;
    report(&servers.findings);
    let now = context.now();
    let mut state = context.state();
    state.listing.answered(now);
    let changed = state.listing.replace(servers.mark, servers.entries, now);
    state.listing_seen = now;
    self::changed(context, &mut state, &changed, "platform");
    Ok(())
}

fn take(context: &Context, changes: Changes) {
    report(&changes.findings);
    let now = context.now();
    let mut state = context.state();
    state.listing.answered(now);
    let after = changes.update.after;
    let upto = changes.update.upto;
    let Some(changed) = state.listing.apply(changes.update, now) else {
        return;
    };
    state.listing_seen = now;
    tell(context, &state, after, upto, &changed);
    self::changed(context, &mut state, &changed, "platform");
}

/// Tells all other instances what changed, if this one is a home.
fn tell(
    context: &Context,
    state: &State,
    after: u64,
    upto: u64,
    changed: &[(ServerName, Option<Entry>)],
) {
    if !state.steering.is_home() || changed.is_empty() {
        return;
    }
    let to = state.steering.everyone();
    for part in changed.chunks(CHANGES_MAX) {
        let update = Update {
            after,
            upto,
            changes: part.to_vec(),
        };
        context.tell(Packet::Servers(update), to.clone());
    }
}

/// Drops entries that the platform lost and whose servers did not come back.
fn expire(context: &Context) {
    let now = context.now();
    let mut state = context.state();
    let names = state.listing.expire(now);
    if names.is_empty() {
        return;
    }
    let changed: Vec<(ServerName, Option<Entry>)> =
        names.into_iter().map(|name| (name, None)).collect();
    let mark = state.listing.mark().unwrap_or(0);
    tell(context, &state, mark, mark, &changed);
    self::changed(context, &mut state, &changed, "lapse");
}

/// Puts changes of the list in force.
pub fn changed(
    context: &Context,
    state: &mut State,
    changed: &[(ServerName, Option<Entry>)],
    source: &'static str,
) {
    if changed.is_empty() {
        return;
    }
    for (name, entry) in changed {
        let kind = match entry {
            None => "gone",
            Some(entry) if entry.server.stay == Stay::Leaving => "leaving",
            Some(_) => "listed",
        };
        line!(
            Event::RosterChanged,
            server = name,
            change = kind,
            service = entry.as_ref().map(|entry| &entry.server.service),
            mark = state.listing.mark(),
            source = source
        );
    }
    state.spread(context, context.now());
}
