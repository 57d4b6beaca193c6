//! Graceful shutdown: leaves the fleet without aborting requests.

use std::sync::Arc;
use std::time::Duration;

use ractor::call_t;
use wb_claim::store::Holder;
use wb_event::Event;
use wb_event::emit;
use wb_members::placement;
use wb_types::member::GossipMessage;
use wb_types::roster::Instance;

use crate::Context;
use crate::daemon::Daemon;
use crate::fleet::FleetMessage;
use crate::recorder::RecorderMessage;

/// Time to keep accepting requests after leaving. It exceeds the 5 s for which callers may keep
/// addresses.
const LOOKUP_GRACE: Duration = Duration::from_secs(6);
/// Longest wait for an actor, in milliseconds.
const ACTOR_MS: u64 = 5000;
/// Timeout of the call that notifies a peer.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that hands ticket records to the successor.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of ticket records in one call.
const RECORDS_PER_CALL: usize = 500;

/// Shuts the daemon down gracefully.
///
/// Notifies the other instances, keeps serving callers that cached the address, stops accepting
/// connections, waits until all requests have finished, hands the tickets to a successor and
/// flushes the decision records.
pub async fn shutdown(daemon: Daemon) {
    let context = &daemon.context.clone();
    emit!(Event::Leaving, "active={}", context.metrics.active.get());
    context.leaving.send_replace(true);
    let fleet = &context.actors().fleet;
    let live = call_t!(fleet, FleetMessage::Leave, ACTOR_MS).unwrap_or_default();
    notify_peers(context, &live).await;
    tokio::time::sleep(LOOKUP_GRACE).await;
    daemon.stop_serving().await;
    while has_requests(context) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    hand_over_tickets(context, &live).await;
    let recorder = &context.actors().recorder;
    let _ = call_t!(recorder, RecorderMessage::Flush, ACTOR_MS);
    emit!(Event::Stopped, "instance={}", context.instance_name());
}

/// Returns whether requests are in progress, including those whose callers have disconnected.
fn has_requests(context: &Context) -> bool {
    let running = context
        .tickets
        .lock()
        .expect("lock is not poisoned")
        .has_running();
    running || context.metrics.active.get() > 0
}

/// Notifies all other instances concurrently that this one has left.
async fn notify_peers(context: &Arc<Context>, live: &[Instance]) {
    let gossip = GossipMessage {
        from: Some(wb_types::member::MemberUpdate {
            name: context.instance_name().clone(),
            incarnation: context.incarnation,
            revision: u32::MAX,
            liveness: wb_types::member::Liveness::Left,
        }),
        table: context.table().version(),
        ..GossipMessage::default()
    };
    let calls = live
        .iter()
        .map(|peer| context.peers.exchange(peer.peers, &gossip, NOTIFY_TIMEOUT));
    futures::future::join_all(calls).await;
}

/// Hands the ticket records to one successor. If the reply is lost, no other successor is tried:
/// otherwise two processes could hold the same ticket.
async fn hand_over_tickets(context: &Arc<Context>, live: &[Instance]) {
    let successors = placement::successors(context.instance_name(), live, 1);
    let Some(successor) = successors.first() else {
        return;
    };
    let records = {
        let mut tickets = context.tickets.lock().expect("lock is not poisoned");
        tickets.close();
        tickets.export(&Holder {
            name: successor.name.clone(),
            incarnation: 0,
        })
    };
    for batch in records.chunks(RECORDS_PER_CALL) {
        let taken = context
            .peers
            .adopt(successor.peers, batch, ADOPT_TIMEOUT)
            .await;
        emit!(
            Event::TicketsMoved,
            "given={} heir={} taken={}",
            batch.len(),
            successor.name,
            taken.is_ok()
        );
    }
}
