//! Handling of datagrams from other instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use wb_balance::Evidence;
use wb_balance::limit::Audience;
use wb_event::Event;
use wb_event::line;
use wb_members::listing::Applied;
use wb_members::listing::Update;
use wb_members::listing::freshness::Announcement;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;

use super::Packet;
use super::allowance;
use super::bytes;
use super::heartbeat;
use super::leaving;
use super::limits;
use super::packet::Heartbeat;
use super::packet::LimitReport;
use super::packet::PathReport;
use super::packet::RequestCounts;
use super::quarantine;
use crate::Context;
use crate::context::State;
use crate::follow;

/// Handles a datagram from the peer address `peer`.
pub fn handle_packet(context: &Context, packet: Packet, peer: SocketAddr) {
    match packet {
        Packet::Heartbeat(heartbeat) => handle_heartbeat(context, *heartbeat, peer),
        Packet::RequestCounts {
            from,
            counts,
            successes,
            full,
        } => handle_counts(context, &from, full, &counts, &successes),
        Packet::Evidence {
            from,
            service,
            server,
            evidence,
        } => handle_evidence(context, &from, &service, &server, evidence),
        Packet::Servers(update) => handle_servers(context, update, peer),
        Packet::ServerLimits { from, limits } => handle_limits(context, &from, &limits),
        Packet::LeavingServers { from, servers } => leaving::handle(context, &from, &servers),
        Packet::Leaving { from } => {
            let mut state = context.state();
            state.steering.mark_left(&from);
            line!(Event::Member, member = from, liveness = "left");
            heartbeat::update_homes(context, &mut state);
        }
        Packet::CrashReports { from, reports } => quarantine::handle(context, &from, &reports),
        Packet::AllowanceOffer(offer) => allowance::handle_offer(context, &offer, peer),
        Packet::AllowanceLease(lease) => allowance::handle_lease(context, &lease),
        Packet::AllowanceQuestion(question) => {
            allowance::handle_question(context, &question, peer);
        }
        Packet::AllowanceGrant(grant) => allowance::handle_grant(context, &grant),
        Packet::Bytes(report) => bytes::handle(context, &report),
        Packet::PlatformEra { era } => {
            // The era counts only once the platform itself has answered in it.
            if context.state().era < Some(era) {
                context.routes_wakeup.notify_one();
            }
        }
        Packet::StaleConnection { service, cause } => {
            let mut state = context.state();
            if let Some(service) = state.services.get_mut(&service) {
                service.idle_limits.apply_cause(cause, context.now());
            }
        }
    }
}

fn handle_heartbeat(context: &Context, heartbeat: Heartbeat, peer: SocketAddr) {
    let now = context.now();
    let mut state = context.state();
    let name = heartbeat.card.name.clone();
    if state
        .steering
        .record_heartbeat(heartbeat.card, heartbeat.is_home, now)
    {
        line!(
            Event::Member,
            member = name,
            liveness = "alive",
            peer = peer
        );
    }
    record_path(&mut state, &name, &heartbeat.path, now);
    state.steering.record_relayed(&heartbeat.candidates, now);
    if heartbeat.wants_reply {
        let packet = heartbeat::heartbeat(context, &state, false);
        context.send_packet(packet, vec![peer]);
        for packet in limits::reports(&state, Audience::NewInstance, now) {
            context.send_packet(packet, vec![peer]);
        }
        if state.steering.is_home() {
            for packet in leaving::reports(&state) {
                context.send_packet(packet, vec![peer]);
            }
            quarantine::send_all(context, &state, None, &[peer]);
        }
    }
    let routes = state.routes.as_ref().map_or(0, |routes| routes.version);
    if heartbeat.routes_version > routes {
        state.newer_peer = Some((peer, heartbeat.routes_version));
        state.announced_routes = Some((heartbeat.routes_version, now));
        context.routes_wakeup.notify_one();
    } else if heartbeat.routes_version < routes {
        heartbeat::tell_routes(context, &state, peer);
    }
    let announced = Announcement {
        version: heartbeat.listing_version,
        digest: heartbeat.listing_digest,
        confirmed: now.saturating_sub(heartbeat.listing_age),
    };
    follow::servers::compare(context, &mut state, announced);
    heartbeat::update_homes(context, &mut state);
}

/// Records what another instance says of its path to the servers.
fn record_path(state: &mut State, from: &InstanceName, path: &PathReport, now: Moment) {
    if let Some(age) = path.success_age {
        state.reach.record_peer_success(now.saturating_sub(age));
    }
    state
        .steering
        .record_avoiding(from, path.avoids_callers, now);
    if !state.steering.record_cut(from, path.is_cut, now) {
        return;
    }
    line!(Event::ServersUnreachable, cut = path.is_cut, from = from);
    if !path.is_cut {
        state.reach.record_peer_return();
    }
    // What it has reported of the servers was its own fault.
    for service in state.services.values_mut() {
        service.balancer.retract_peer_evidence(now);
    }
}

fn handle_counts(
    context: &Context,
    from: &InstanceName,
    full: bool,
    counts: &RequestCounts,
    successes: &HashMap<ServiceName, Vec<ServerName>>,
) {
    let now = context.now();
    let mut state = context.state();
    if !successes.is_empty() {
        state.reach.record_peer_success(now);
    }
    let none = HashMap::new();
    for (name, service) in &mut state.services {
        let counts = counts.get(name).unwrap_or(&none);
        if full {
            service.balancer.set_running(from, counts, now);
        } else {
            service.balancer.update_running(from, counts, now);
        }
        if let Some(servers) = successes.get(name) {
            service.balancer.record_peer_successes(servers, now);
        }
        service.release_queued(now);
    }
}

fn handle_evidence(
    context: &Context,
    from: &InstanceName,
    service: &ServiceName,
    server: &ServerName,
    evidence: Evidence,
) {
    let now = context.now();
    let mut state = context.state();
    if evidence.is_response() {
        state.reach.record_peer_success(now);
    } else {
        state.reach.record_peer_failure(now);
    }
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
    known.release_queued(now);
}

fn handle_limits(
    context: &Context,
    from: &InstanceName,
    limits: &HashMap<ServiceName, Vec<LimitReport>>,
) {
    let now = context.now();
    let mut state = context.state();
    for (name, reports) in limits {
        let Some(service) = state.services.get_mut(name) else {
            continue;
        };
        for report in reports {
            let observation = report.observation(now);
            let balancer = &mut service.balancer;
            let Some(change) = balancer.observe_peer_limit(&report.server, observation, now) else {
                continue;
            };
            line!(
                Event::ServerLimit,
                service = name,
                server = change.server,
                limit = change.limit,
                before = change.before,
                from = from
            );
        }
        service.release_queued(now);
    }
}

fn handle_servers(context: &Context, update: Update, peer: SocketAddr) {
    let now = context.now();
    let mut state = context.state();
    let (after, upto) = (update.after, update.upto);
    match state.listing.apply_update(update, now) {
        Applied::Gap => {
            if state.freshness.record_gap(upto, now) {
                line!(
                    Event::RosterStale,
                    reason = "gap",
                    version = state.listing.content_version(),
                    after = after,
                    upto = upto,
                    from = peer
                );
                context.servers_wakeup.notify_one();
            }
        }
        Applied::Outdated => {}
        Applied::Changes { changed, advanced } => {
            follow::servers::apply_changes(context, &mut state, &changed, "peer");
            if advanced {
                follow::servers::confirm(context, &mut state, now);
            }
        }
    }
}
