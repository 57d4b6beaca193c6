//! Backend servers that have said in a response that they are leaving.

use wb_event::Event;
use wb_event::line;
use wb_members::listing::Lifetime;
use wb_types::id::InstanceName;
use wb_types::id::ServerName;

use super::Packet;
use crate::Context;
use crate::context::State;

/// Most servers in one datagram.
const SERVERS_MAX: usize = 32;

/// Records what another instance reports.
pub fn handle(context: &Context, from: &InstanceName, servers: &[(ServerName, Lifetime)]) {
    let now = context.now();
    let mut state = context.state();
    let mut news = false;
    for (server, lifetime) in servers {
        if state.listing.record_leaving(server, *lifetime, now) {
            line!(Event::ServerLeaving, server = server, from = from);
            news = true;
        }
    }
    if news || state.listing.update_doubts(now) {
        state.apply_listing(context, now);
    }
}

/// Builds reports of all these servers, for an instance that has just started.
pub fn reports(state: &State) -> Vec<Packet> {
    let servers = state.listing.leaving_servers();
    let from = &state.steering.own_card().name;
    let chunks = servers.chunks(SERVERS_MAX);
    let packets = chunks.map(|chunk| Packet::LeavingServers {
        from: from.clone(),
        servers: chunk.to_vec(),
    });
    packets.collect()
}
