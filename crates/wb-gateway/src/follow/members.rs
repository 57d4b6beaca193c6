//! Registration of this instance and discovery of the others.

use std::sync::Arc;

use wb_event::Event;
use wb_event::line;

use super::Backoff;
use super::CallMonitor;
use super::log_errors;
use crate::Context;
use crate::peers::heartbeat;
use crate::peers::snapshot;
use crate::platform::Error;

/// Registers this instance and reads the others, and repeats both until they succeed once. Since an
/// instance writes before it reads, of any two instances at least one finds the other.
pub async fn join(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("members");
    let mut backoff = Backoff::new();
    loop {
        let result = register_and_list(&context).await;
        monitor.record(&context, &result);
        if result.is_ok() {
            return;
        }
        ask_seeds(&context).await;
        backoff.wait().await;
    }
}

async fn register_and_list(context: &Context) -> Result<(), Error> {
    context.catalog.register(&context.settings.card).await?;
    let members = context.catalog.members().await?;
    log_errors(&members.errors);
    add_members(context, members.cards);
    Ok(())
}

fn add_members(context: &Context, cards: Vec<wb_members::steering::Card>) {
    let now = context.now();
    let mut state = context.state();
    for card in cards {
        state.steering.add_peer(card, now);
    }
    let heartbeat = heartbeat::heartbeat(context, &state, true);
    let peers = state.steering.peer_addresses();
    line!(Event::Joined, members = peers.len());
    context.send_packet(heartbeat, peers);
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
