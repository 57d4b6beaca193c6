//! Reports of servers' limits to other instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wb_balance::limit::Audience;
use wb_event::Event;
use wb_event::line;
use wb_types::id::Moment;

use super::Packet;
use super::packet::LimitReport;
use crate::Context;
use crate::context::State;

/// Interval between reports of servers' limits to homes that hold no part of them. A limit that has
/// not changed is not urgent.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Most limits in one datagram.
const REPORTS_MAX: usize = 16;

/// Forgets limits of servers that nobody has confirmed for long.
pub fn expire(state: &mut State, now: Moment) {
    for (name, service) in &mut state.services {
        let expired = service.balancer.expire_limits(now);
        for change in &expired {
            line!(
                Event::ServerLimit,
                service = name,
                server = change.server,
                before = change.before,
                source = "expired"
            );
        }
        if !expired.is_empty() {
            service.release_queued(now);
        }
    }
}

/// Builds reports of the servers' limits that this instance is the one to report to these others.
pub fn reports(state: &State, to: Audience, now: Moment) -> Vec<Packet> {
    let from = &state.steering.own_card().name;
    let services = state.services.iter();
    let packets = services.flat_map(|(name, service)| {
        let limits = service.balancer.reported_limits(to).into_iter();
        let reports: Vec<LimitReport> = limits
            .map(|(server, observation)| LimitReport::new(&server, observation, now))
            .collect();
        let chunks = reports.chunks(REPORTS_MAX);
        let packets = chunks.map(|chunk| Packet::ServerLimits {
            from: from.clone(),
            limits: HashMap::from([(name.clone(), chunk.to_vec())]),
        });
        packets.collect::<Vec<Packet>>()
    });
    packets.collect()
}

/// Reports servers' limits to the other homes from time to time, until the daemon ends.
pub async fn send(context: Arc<Context>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let state = context.state();
        for packet in reports(&state, Audience::OtherHomes, context.now()) {
            context.send_packet(packet, state.steering.home_peers());
        }
    }
}
