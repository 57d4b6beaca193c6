//! Leaving without cutting a request.

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
use crate::fleet::FleetMessage;
use crate::recorder::RecordMessage;
use crate::start::Daemon;

/// Time for which callers that kept an address are still served.
const STALE: Duration = Duration::from_secs(6);
/// Longest wait for an actor, in milliseconds.
const ACTOR_MS: u64 = 5000;
/// Longest wait for a peer.
const PEER: Duration = Duration::from_millis(500);
/// Longest wait for a successor to take the tickets.
const ADOPT: Duration = Duration::from_secs(2);
/// Pause between two looks at the requests in progress.
const PAUSE: Duration = Duration::from_millis(50);
/// Records handed over in one message.
const BATCH: usize = 500;

/// Leaves the fleet: tells the others, serves callers that kept the address, then takes no new
/// connections, waits until all requests are finished, and hands the tickets to a successor.
pub async fn leave(daemon: Daemon) {
    let context = &daemon.context.clone();
    emit!(Event::Leaving, "active={}", context.metrics.active.get());
    context.leaving.send_replace(true);
    let fleet = &context.actors().fleet;
    let live = call_t!(fleet, FleetMessage::Leave, ACTOR_MS).unwrap_or_default();
    tell(context, &live).await;
    tokio::time::sleep(STALE).await;
    daemon.finish().await;
    while busy(context) {
        tokio::time::sleep(PAUSE).await;
    }
    hand_over(context, &live).await;
    let recorder = &context.actors().recorder;
    let _ = call_t!(recorder, RecordMessage::Flush, ACTOR_MS);
    emit!(Event::Stopped, "instance={}", context.me());
}

/// Whether work goes on, be it for callers that are gone.
fn busy(context: &Context) -> bool {
    let running = context
        .claims
        .lock()
        .expect("no holder panics")
        .has_running();
    running || context.metrics.active.get() > 0
}

/// Tells every other instance at once.
async fn tell(context: &Arc<Context>, live: &[Instance]) {
    let news = GossipMessage {
        from: Some(wb_types::member::MemberUpdate {
            name: context.me().clone(),
            incarnation: context.incarnation,
            revision: u32::MAX,
            liveness: wb_types::member::Liveness::Left,
        }),
        table: context.table().version(),
        ..GossipMessage::default()
    };
    let calls = live
        .iter()
        .map(|peer| context.peers.exchange(peer.peers, &news, PEER));
    futures::future::join_all(calls).await;
}

/// Hands the records of tickets to one successor. A hand-over whose answer was lost is not tried
/// at another, so that no two processes hold one ticket.
async fn hand_over(context: &Arc<Context>, live: &[Instance]) {
    let heirs = placement::successors(context.me(), live, 1);
    let Some(heir) = heirs.first() else {
        return;
    };
    let records = {
        let mut claims = context.claims.lock().expect("no holder panics");
        claims.close();
        claims.export(&Holder {
            name: heir.name.clone(),
            incarnation: 0,
        })
    };
    for batch in records.chunks(BATCH) {
        let taken = context.peers.adopt(heir.peers, batch, ADOPT).await;
        emit!(
            Event::TicketsMoved,
            "given={} heir={} taken={}",
            batch.len(),
            heir.name,
            taken.is_ok()
        );
    }
}
