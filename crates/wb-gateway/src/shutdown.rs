//! Graceful shutdown of the daemon.

use std::time::Duration;

use wb_event::Event;
use wb_event::line;

use crate::Context;
use crate::Daemon;
use crate::follow::members;
use crate::peers::Packet;

/// Share of the grace period during which new requests are still served, for callers that use an
/// older directory answer. Requests in progress have the rest of it to finish; later requests are
/// refused, so that their callers use another instance.
const SERVE_SHARE: f64 = 0.45;
/// Share of the grace period after which requests in progress are answered as failed.
const ANSWER_SHARE: f64 = 0.9;
/// Share of the grace period after which the daemon cuts the remaining requests.
const CUT_SHARE: f64 = 0.94;
/// Timeout for removing the instance's row from the platform.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Leaves the fleet. Callers are steered away at once; then no new connections are accepted and all
/// requests in progress finish.
pub async fn shutdown(daemon: Daemon) {
    let context = daemon.context.clone();
    let grace = context.settings.bounds.grace;
    let begin = tokio::time::Instant::now();
    line!(
        Event::Leaving,
        active = context.metrics.requests_active.get()
    );
    context.set_leaving();
    context.set_end(context.now() + grace.mul_f64(ANSWER_SHARE));
    announce(&context);
    let deregistration = members::deregister(&context);
    if let Ok(Err(err)) = tokio::time::timeout(DEREGISTER_TIMEOUT, deregistration).await {
        line!(Event::PlatformDown, call = "leave", error = err.to_string());
    }
    tokio::time::sleep_until(begin + grace.mul_f64(SERVE_SHARE)).await;
    context.set_closing();
    let end = begin + grace.mul_f64(CUT_SHARE);
    if tokio::time::timeout_at(end, daemon.drain()).await.is_err() {
        line!(Event::Cut, active = context.metrics.requests_active.get());
    }
    line!(Event::Stopped);
}

fn announce(context: &Context) {
    let mut state = context.state();
    let from = context.settings.card.name.clone();
    state.steering.mark_left(&from);
    let to = state.steering.peer_addresses();
    context.send_packet(Packet::Leaving { from }, to);
}
