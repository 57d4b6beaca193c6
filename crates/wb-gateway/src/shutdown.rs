//! The end of the daemon.

use std::time::Duration;

use wb_event::Event;
use wb_event::line;

use crate::Context;
use crate::Daemon;
use crate::peers::Packet;

/// Part of the grace for which callers that keep an old answer are still served. Their requests
/// have the rest of it to end; later ones are refused, which tells their callers to go elsewhere.
const SERVE: f64 = 0.45;
/// Part of the grace at which the daemon ends whatever is still running.
const CUT: f64 = 0.92;
/// Longest wait for the platform to take the instance out.
const UNLIST: Duration = Duration::from_millis(500);

/// Leaves the fleet: callers are steered away at once, then no new connections are taken, and all
/// requests in progress end.
pub async fn shutdown(daemon: Daemon) {
    let context = daemon.context.clone();
    let grace = context.settings.bounds.grace;
    let begin = tokio::time::Instant::now();
    line!(Event::Leaving, active = context.metrics.active.get());
    context.set_leaving();
    tell(&context);
    let unlisting = context.catalog.deregister(&context.settings.card.name);
    if let Ok(Err(err)) = tokio::time::timeout(UNLIST, unlisting).await {
        line!(Event::PlatformDown, call = "leave", error = err.to_string());
    }
    tokio::time::sleep_until(begin + grace.mul_f64(SERVE)).await;
    context.set_closing();
    let end = begin + grace.mul_f64(CUT);
    if tokio::time::timeout_at(end, daemon.finish()).await.is_err() {
        line!(Event::Cut, active = context.metrics.active.get());
    }
    line!(Event::Stopped);
}

fn tell(context: &Context) {
    let mut state = context.state();
    let from = context.settings.card.name.clone();
    state.steering.mark_left(&from);
    let to = state.steering.peer_addresses();
    context.tell(Packet::Bye { from }, to);
}
