//! Registration of this instance and discovery of the others.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_members::registration::SeenRow;
use wb_members::steering::Card;

use super::Backoff;
use super::CallMonitor;
use super::log_errors;
use super::observe_era;
use crate::Context;
use crate::peers::allowance;
use crate::peers::heartbeat;
use crate::peers::snapshot;
use crate::platform::Error;
use crate::platform::MemberRow;
use crate::platform::RowWrite;

/// Longest wait before an instance registers again after the platform has lost rows: spreads the
/// calls of all instances.
const REJOIN_SPREAD: Duration = Duration::from_secs(1);

/// Part of the interval between two checks by which it varies, so that instances do not read at the same moment.
const CHECK_JITTER: f64 = 0.3;

/// Registers this instance and reads the others, at the start, whenever the platform has lost rows, and from time to
/// time, until the instance leaves.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("members");
    loop {
        join(&context, &mut monitor).await;
        let jitter = rand::random_range(1.0 - CHECK_JITTER..1.0 + CHECK_JITTER);
        let check = context.state().registration.schedule_check();
        tokio::select! {
            () = context.rejoin.notified() => {
                tokio::time::sleep(REJOIN_SPREAD.mul_f64(rand::random())).await;
            }
            () = tokio::time::sleep(check.mul_f64(jitter)) => {}
        }
        if context.is_leaving() {
            return;
        }
    }
}

/// Registers this instance and reads the others, and repeats both until they succeed once.
async fn join(context: &Context, monitor: &mut CallMonitor) {
    let mut backoff = Backoff::new();
    while !context.is_leaving() {
        let result = register_and_list(context).await;
        monitor.record(context, &result);
        if matches!(result, Ok(true)) {
            return;
        }
        if result.is_err() {
            ask_seeds(context).await;
        }
        backoff.wait().await;
    }
}

/// Writes the row of this instance unless it is known to be there, and reads the others. Since an instance writes
/// before it reads, of any two instances at least one finds the other. Returns whether the row was read, too.
async fn register_and_list(context: &Context) -> Result<bool, Error> {
    if !context.state().registration.is_registered() {
        register(context).await?;
    }
    let members = context.catalog.members().await?;
    observe_era(context, "members");
    log_errors(&members.errors);
    let own = &context.settings.card.name;
    let row = members.rows.iter().find(|row| row.name == *own);
    let registered = record_row(context, row);
    let cards = members.rows.into_iter().filter_map(|row| row.card);
    add_members(context, cards.collect());
    Ok(registered)
}

/// Writes the row of this instance over the one that was last seen, or the one that has taken its place since.
async fn register(context: &Context) -> Result<(), Error> {
    let card = &context.settings.card;
    if context.state().registration.must_read() {
        read_own_row(context).await?;
    }
    let replaced = context.state().registration.replaceable();
    let write = context.catalog.register(card, replaced).await?;
    observe_era(context, "members");
    let RowWrite::Superseded(row) = write else {
        return Ok(());
    };
    // The row is that of this process if an earlier write was performed without an answer.
    if record_row(context, row.as_ref()) {
        return Ok(());
    }
    let replaced = context.state().registration.replaceable();
    // A second conflict shows when the rows are read next, and leads to another registration.
    let _conflict = context.catalog.register(card, replaced).await?;
    Ok(())
}

/// Reads the row under the name of this instance.
async fn read_own_row(context: &Context) -> Result<(), Error> {
    let members = context.catalog.members().await?;
    observe_era(context, "members");
    let name = &context.settings.card.name;
    record_row(context, members.rows.iter().find(|row| row.name == *name));
    Ok(())
}

/// Records the row under the name of this instance. Returns whether it is the row of this process.
fn record_row(context: &Context, row: Option<&MemberRow>) -> bool {
    let seen = row.map(|row| SeenRow {
        incarnation: row.card.as_ref().map(|card| card.incarnation),
        version: row.version,
    });
    let mut state = context.state();
    let registered = state.registration.record(seen);
    if !registered {
        line!(
            Event::RowReplaced,
            incarnation = seen.and_then(|row| row.incarnation),
            version = seen.map(|row| row.version)
        );
    }
    registered
}

/// Removes the row of this instance, unless another process has written it meanwhile.
///
/// # Errors
///
/// See [`Error`].
pub async fn deregister(context: &Context) -> Result<(), Error> {
    let name = &context.settings.card.name;
    let known = context.state().registration.removable();
    let version = match known {
        Some(version) => version,
        None => {
            read_own_row(context).await?;
            let Some(version) = context.state().registration.removable() else {
                return Ok(());
            };
            version
        }
    };
    if let RowWrite::Superseded(row) = context.catalog.deregister(name, version).await? {
        record_row(context, row.as_ref());
    }
    Ok(())
}

fn add_members(context: &Context, cards: Vec<Card>) {
    let now = context.now();
    let mut state = context.state();
    state.members_read = true;
    let mut found = Vec::new();
    for card in cards {
        let address = card.peers;
        if state.steering.add_peer(card, now) {
            found.push(address);
        }
    }
    line!(
        Event::Joined,
        members = state.steering.cards().len() - 1,
        found = found.len()
    );
    allowance::sync_fleet(&mut state);
    // An instance that was known already has sent a heartbeat, and thus knows this one.
    let heartbeat = heartbeat::heartbeat(context, &state, true);
    context.send_packet(heartbeat, found);
}

/// Discovers other instances through seeds, while the platform does not answer.
async fn ask_seeds(context: &Context) {
    for seed in &context.settings.seeds {
        if let Some(snapshot) = snapshot::fetch(context, *seed).await {
            add_members(context, snapshot.cards);
            return;
        }
    }
}
