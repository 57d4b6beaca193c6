//! Registration of this instance and discovery of the others.

use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;

use super::Backoff;
use super::CallMonitor;
use super::log_errors;
use super::observe_era;
use crate::Context;
use crate::peers::allowance;
use crate::peers::heartbeat;
use crate::peers::snapshot;
use crate::platform::Error;

/// Longest wait before an instance registers again after the platform has lost rows: spreads the
/// calls of all instances.
const REJOIN_SPREAD: Duration = Duration::from_secs(1);

/// Registers this instance and reads the others, at the start and whenever the platform has lost
/// rows, until the instance leaves.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("members");
    loop {
        join(&context, &mut monitor).await;
        context.rejoin.notified().await;
        let wait = REJOIN_SPREAD.mul_f64(rand::random());
        tokio::time::sleep(wait).await;
        if context.is_leaving() {
            return;
        }
    }
}

/// Registers this instance and reads the others, and repeats both until they succeed once. Since an
/// instance writes before it reads, of any two instances at least one finds the other.
async fn join(context: &Context, monitor: &mut CallMonitor) {
    let mut backoff = Backoff::new();
    loop {
        let result = register_and_list(context).await;
        monitor.record(context, &result);
        if result.is_ok() || context.is_leaving() {
            return;
        }
        ask_seeds(context).await;
        backoff.wait().await;
    }
}

async fn register_and_list(context: &Context) -> Result<(), Error> {
    context.catalog.register(&context.settings.card).await?;
    observe_era(context, "members");
    let members = context.catalog.members().await?;
    log_errors(&members.errors);
    add_members(context, members.cards);
    Ok(())
}

fn add_members(context: &Context, cards: Vec<wb_members::steering::Card>) {
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
