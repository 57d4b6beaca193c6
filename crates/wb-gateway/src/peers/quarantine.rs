//! Exchange of evidence on requests that crash the servers which run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_quarantine::Change;
use wb_quarantine::Report;
use wb_quarantine::Standing;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::RequestKey;

use super::Packet;
use crate::Context;
use crate::context::State;
use crate::proxy::request_key;

/// Interval at which new evidence is repeated, since datagrams may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which evidence is new: an instance that was cut off or stopped meanwhile misses it only
/// if that lasts longer.
const NEW_TIME: Duration = Duration::from_secs(10);
/// Every tenth repetition has all evidence.
const ALL_EVERY: u32 = 10;
/// Most requests in one repetition.
const REPORTS_MAX: usize = 32;
/// Most requests in one datagram: each takes up to 300 bytes.
const REPORTS_PER_PACKET: usize = 4;

/// Records what another instance reports.
pub fn handle(context: &Context, from: &InstanceName, reports: &[Report]) {
    let now = context.now();
    let mut state = context.state();
    for report in reports {
        if let Some(change) = state.quarantine.merge(report, now) {
            log_change(&change, None, Some(from));
        }
    }
}

/// Reports what is known of a request to all other instances.
pub fn tell(context: &Context, state: &State, key: RequestKey) {
    if let Some(report) = state.quarantine.report(key, context.now()) {
        let from = state.steering.own_card().name.clone();
        let packet = Packet::CrashReports {
            from,
            reports: vec![report],
        };
        context.send_packet(packet, state.steering.peer_addresses());
    }
}

/// Sends all evidence, or that which was learnt within `newest`, to these addresses.
pub fn send_all(context: &Context, state: &State, newest: Option<Duration>, to: &[SocketAddr]) {
    let now = context.now();
    let reports = state.quarantine.reports(newest, REPORTS_MAX, now);
    for chunk in reports.chunks(REPORTS_PER_PACKET) {
        let packet = Packet::CrashReports {
            from: state.steering.own_card().name.clone(),
            reports: chunk.to_vec(),
        };
        context.send_packet(packet, to.to_vec());
    }
}

/// Logs a change of what is known of a request, learnt from the request with this id or from another
/// instance.
pub fn log_change(change: &Change, request: Option<&str>, from: Option<&InstanceName>) {
    let held = match change.after {
        Standing::Held { remaining, .. } => Some(remaining.as_millis() as u64),
        _ => None,
    };
    line!(
        Event::RequestSuspected,
        key = request_key::text(change.key),
        crashes = change.after.crashes(),
        before = change.before.crashes(),
        held_ms = held,
        request = request,
        from = from
    );
}

/// Repeats the evidence while this instance is a home, until the daemon ends.
pub async fn send(context: Arc<Context>) {
    for round in 1u32.. {
        tokio::time::sleep(REPEAT_INTERVAL).await;
        let now: Moment = context.now();
        let mut state = context.state();
        state.quarantine.expire(now);
        let held = state.quarantine.held_count(now);
        context.metrics.requests_held.set(held as i64);
        if state.steering.is_home() {
            let newest = (!round.is_multiple_of(ALL_EVERY)).then_some(NEW_TIME);
            let to = state.steering.peer_addresses();
            send_all(&context, &state, newest, &to);
        }
    }
}
