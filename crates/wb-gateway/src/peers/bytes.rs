//! Body bytes in flight, told among the homes while a service's servers are known to hold only so many.

use serde::Deserialize;
use serde::Serialize;
use wb_event::Event;
use wb_event::line;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;

use super::Packet;
use crate::Context;
use crate::context::State;

/// Most counts in one datagram.
const COUNTS_MAX: usize = 32;

/// Body bytes that an instance has in flight at the servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BytesReport {
    /// Sender.
    pub from: InstanceName,
    /// The service.
    pub service: ServiceName,
    /// Most bytes that are sent to a server at a time.
    pub limit: u64,
    /// Bytes in flight, for some of the servers.
    pub counts: Vec<(ServerName, u64)>,
}

/// Builds the reports on all services whose servers are known to hold only so many bytes: of all counts if
/// `all`, otherwise of those that have changed.
pub fn reports(state: &mut State, all: bool, now: Moment) -> Vec<Packet> {
    let from = state.steering.own_card().name.clone();
    let mut packets = Vec::new();
    for (name, service) in &mut state.services {
        let Some(limit) = service.balancer.byte_limit(now) else {
            continue;
        };
        let counts = service.balancer.report_bytes(all);
        let chunks = counts.chunks(COUNTS_MAX);
        packets.extend(chunks.map(|counts| {
            Packet::Bytes(BytesReport {
                from: from.clone(),
                service: name.clone(),
                limit,
                counts: counts.to_vec(),
            })
        }));
    }
    packets
}

/// Tells the other homes a limit that this instance has learnt.
pub fn tell_limit(context: &Context, state: &State, service: &ServiceName, limit: u64) {
    let report = BytesReport {
        from: state.steering.own_card().name.clone(),
        service: service.clone(),
        limit,
        counts: Vec::new(),
    };
    context.send_packet(Packet::Bytes(report), state.steering.home_peers());
}

/// Tells the other homes of a body that is being sent, if it takes a large part of what a server can hold.
pub fn tell_urgent(context: &Context, service: &ServiceName, body: u64) {
    if body == 0 {
        return;
    }
    let now = context.now();
    let mut state = context.state();
    let balancer = state.services.get(service).map(|known| &known.balancer);
    if !balancer.is_some_and(|balancer| balancer.is_urgent_body(body, now)) {
        return;
    }
    for packet in reports(&mut state, false, now) {
        context.send_packet(packet, state.steering.home_peers());
    }
}

/// Handles another instance's report.
pub fn handle(context: &Context, report: &BytesReport) {
    let now = context.now();
    let mut state = context.state();
    let Some(service) = state.services.get_mut(&report.service) else {
        return;
    };
    let balancer = &mut service.balancer;
    if balancer.lower_byte_limit(report.limit, now) {
        line!(
            Event::BytesLimited,
            service = report.service,
            limit = balancer.byte_limit(now),
            from = report.from
        );
    }
    for (server, bytes) in &report.counts {
        balancer.set_peer_bytes(&report.from, server, *bytes, now);
    }
    service.release_queued(now);
}
