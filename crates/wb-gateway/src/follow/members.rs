//! Joining the fleet.

use std::sync::Arc;

use wb_event::Event;
use wb_event::line;

use super::Backoff;
use super::Watch;
use super::report;
use crate::Context;
use crate::peers::beat;
use crate::peers::whole;
use crate::platform::Error;

/// Makes this instance known and learns of the others, until that succeeded once. Since an
/// instance writes before it reads, of any two at least one learns of the other.
pub async fn join(context: Arc<Context>) {
    let mut watch = Watch::new("members");
    let mut backoff = Backoff::new();
    loop {
        let result = exchange(&context).await;
        watch.note(&context, &result);
        if result.is_ok() {
            return;
        }
        ask_seeds(&context).await;
        backoff.wait().await;
    }
}

async fn exchange(context: &Context) -> Result<(), Error> {
    context.catalog.register(&context.settings.card).await?;
    let members = context.catalog.members().await?;
    report(&members.errors);
    greet(context, members.cards);
    Ok(())
}

fn greet(context: &Context, cards: Vec<wb_members::steering::Card>) {
    let now = context.now();
    let mut state = context.state();
    for card in cards {
        state.steering.add_peer(card, now);
    }
    let hello = beat::beat(context, &state, true);
    let everyone = state.steering.peer_addresses();
    line!(Event::Joined, members = everyone.len());
    context.tell(hello, everyone);
}

/// Learns of others from those that may be up, while the platform does not answer.
async fn ask_seeds(context: &Context) {
    for seed in &context.settings.seeds {
        if let Some(whole) = whole::fetch(context, *seed).await {
            greet(context, whole.cards);
            return;
        }
    }
}
