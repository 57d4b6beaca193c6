//! Packets of other instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use wb_balance::Evidence;
use wb_event::Event;
use wb_event::line;
use wb_members::listing::Update;
use wb_types::id::InstanceName;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;

use super::Packet;
use super::beat;
use super::packet::Beat;
use super::packet::Running;
use crate::Context;
use crate::follow;

/// Takes a packet.
pub fn hear(context: &Context, packet: Packet, peer: SocketAddr) {
    match packet {
        Packet::Beat(beat) => hear_beat(context, *beat, peer),
        Packet::Running {
            from,
            running,
            good,
            whole,
        } => hear_running(context, &from, whole, &running, &good),
        Packet::Learnt {
            from,
            service,
            server,
            evidence,
        } => learn(context, &from, &service, &server, evidence),
        Packet::Servers(update) => hear_servers(context, update),
        Packet::Bye { from } => {
            let mut state = context.state();
            state.steering.mark_left(&from);
            line!(Event::Member, member = from, liveness = "left");
            beat::choose(context, &mut state);
        }
        Packet::Stale { service, cause } => {
            let mut state = context.state();
            if let Some(service) = state.services.get_mut(&service) {
                service.rests.apply_cause(cause, context.now());
            }
        }
    }
}

fn hear_beat(context: &Context, heard: Beat, peer: SocketAddr) {
    let now = context.now();
    let mut state = context.state();
    let name = heard.card.name.clone();
    if state.steering.record_heartbeat(heard.card, heard.home, now) {
        line!(
            Event::Member,
            member = name,
            liveness = "alive",
            peer = peer
        );
    }
    state.steering.record_relayed(&heard.candidates, now);
    if heard.hello {
        let packet = beat::beat(context, &state, false);
        context.tell(packet, vec![peer]);
    }
    let routes = state.routes.as_ref().map_or(0, |routes| routes.version);
    if heard.routes > routes {
        state.ahead = Some(peer);
        context.routes_due.notify_one();
    }
    if state.listing.content_version() == Some(heard.listing) {
        let seen = now.saturating_sub(heard.age);
        state.listing_seen = state.listing_seen.max(seen);
    }
    beat::choose(context, &mut state);
}

fn hear_running(
    context: &Context,
    from: &InstanceName,
    whole: bool,
    running: &Running,
    good: &HashMap<ServiceName, Vec<ServerName>>,
) {
    let now = context.now();
    let mut state = context.state();
    let none = HashMap::new();
    for (name, service) in &mut state.services {
        let counts = running.get(name).unwrap_or(&none);
        if whole {
            service.balancer.set_running(from, counts);
        } else {
            service.balancer.update_running(from, counts);
        }
        if let Some(servers) = good.get(name) {
            service.balancer.record_peer_successes(servers, now);
        }
        service.pump(now);
    }
}

fn learn(
    context: &Context,
    from: &InstanceName,
    service: &ServiceName,
    server: &ServerName,
    evidence: Evidence,
) {
    let now = context.now();
    let mut state = context.state();
    let Some(known) = state.services.get_mut(service) else {
        return;
    };
    if let Some(change) = known.balancer.record_peer_evidence(server, evidence, now) {
        line!(
            Event::Health,
            service = service,
            server = server,
            evidence = evidence,
            suspect = change.suspect,
            score = change.score,
            from = from
        );
    }
    known.pump(now);
}

fn hear_servers(context: &Context, update: Update) {
    let now = context.now();
    let mut state = context.state();
    if let Some(changed) = state.listing.apply_update(update) {
        state.listing_seen = now;
        follow::servers::changed(context, &mut state, &changed, "peer");
    }
}
