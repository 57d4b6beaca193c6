//! Heartbeats, the choice of homes that follows from them, and request counts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wb_balance::Balancer;
use wb_event::Event;
use wb_event::line;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;

use super::Packet;
use super::allowance;
use super::bytes;
use super::limits;
use super::packet::Heartbeat;
use super::packet::PathReport;
use super::packet::RequestCounts;
use crate::Context;
use crate::context::State;

/// Interval between the heartbeats of a candidate: a quarter of the silence after which the others
/// skip it when they choose homes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between the messages in which homes report how many requests they have in progress at
/// each server: a fifth of the duration of a usual request.
const COUNTS_INTERVAL: Duration = Duration::from_millis(60);
/// Every sixteenth message has all counts, the others only changed ones. A lost datagram thus
/// leaves the receivers with wrong counts for at most a second.
const FULL_EVERY: u32 = 16;
/// Time in which instances that the platform serves all have newer routes.
const FOLLOW_TIME: Duration = Duration::from_millis(300);
/// Instances that tell the sender of a heartbeat about newer routes, on average, where all can.
const REPLIES: usize = 8;
/// CPU cores that the homes need for each slot of the backend servers: a thousandth of a core
/// carries one request a second, and a slot takes two requests a second.
const CORES_PER_SLOT: f32 = 0.0015;

/// Builds a heartbeat of this instance.
pub fn heartbeat(context: &Context, state: &State, wants_reply: bool) -> Packet {
    let steering = &state.steering;
    Packet::Heartbeat(Box::new(Heartbeat {
        card: steering.own_card().clone(),
        is_home: steering.is_home() && !context.is_leaving(),
        wants_reply,
        routes_version: state.routes.as_ref().map_or(0, |routes| routes.version),
        listing_version: state.listing.content_version().unwrap_or(0),
        listing_age: state.listing_age(context.now()),
        listing_digest: Some(state.listing.digest()),
        path: PathReport {
            is_cut: state.reach.is_cut(),
            avoids_callers: state.reach.avoids_callers(context.now()),
            success_age: state.reach.success_age(context.now()),
        },
        candidates: if steering.is_home() {
            steering.candidates().to_vec()
        } else {
            Vec::new()
        },
    }))
}

/// Tells another instance, whose routes are older, that this one has newer ones. Candidates tell each
/// other by their heartbeats; if the platform turns all of them away, those that it serves have to.
/// Only where there are teams: a key that was taken away counts until then.
pub fn tell_routes(context: &Context, state: &State, peer: SocketAddr) {
    let has_teams = state
        .routes
        .as_ref()
        .is_some_and(|routes| !routes.teams.is_empty());
    let in_force = context.now().saturating_sub(state.routes_since);
    if !has_teams || in_force < FOLLOW_TIME || state.steering.is_candidate() {
        return;
    }
    let others = state.steering.peer_addresses().len();
    if rand::random_range(0..others.max(1)) < REPLIES {
        context.send_packet(heartbeat(context, state, false), vec![peer]);
    }
}

/// Sends heartbeats until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        step(&context);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn step(context: &Context) {
    let now = context.now();
    let mut state = context.state();
    let slots: u64 = state
        .listing
        .entries()
        .values()
        .map(|entry| u64::from(entry.server.slots))
        .sum();
    state
        .steering
        .set_required_cores(slots as f32 * CORES_PER_SLOT);
    crate::follow::servers::expire(context, &mut state);
    decay_evidence(&mut state, now);
    expire_counts(&mut state, now);
    limits::expire(&mut state, now);
    let avoids_callers = state.reach.avoids_callers(now);
    state.steering.set_avoiding(avoids_callers);
    update_homes(context, &mut state);
    // An instance that reaches no servers is no candidate, but the candidates have to know why.
    if (state.steering.is_candidate() || avoids_callers) && !context.is_leaving() {
        let packet = heartbeat(context, &state, false);
        let targets = state.steering.heartbeat_targets(now);
        context.send_packet(packet, targets);
    }
    let metrics = &context.metrics;
    let count = |of: fn(&Balancer) -> usize| {
        let services = state.services.values();
        let total: usize = services.map(|service| of(&service.balancer)).sum();
        total as i64
    };
    metrics.limited_servers.set(count(Balancer::limited_count));
    metrics.slots_taken.set(count(Balancer::own_running));
    metrics.slots_reported.set(count(Balancer::peer_running));
    let listing_age = state.listing_age(now);
    metrics.listing_age.set(listing_age.as_millis() as i64);
    let routes_age = now.saturating_sub(state.routes_confirmed);
    metrics.routes_age.set(routes_age.as_millis() as i64);
    metrics.lines_dropped.set(wb_event::line::dropped() as i64);
}

/// Tells all instances at once that this one reaches no servers and takes no more callers, or that it reaches
/// them again.
pub fn announce_path(context: &Context, state: &mut State) {
    let avoids_callers = state.reach.avoids_callers(context.now());
    state.steering.set_avoiding(avoids_callers);
    update_homes(context, state);
    let packet = heartbeat(context, state, false);
    context.send_packet(packet, state.steering.peer_addresses());
}

/// Lets the evidence on suspect servers decay, and logs those that are cleared by it.
fn decay_evidence(state: &mut State, now: Moment) {
    for (name, service) in &mut state.services {
        let cleared = service.balancer.decay(now);
        for server in &cleared {
            line!(
                Event::Health,
                service = name,
                server = server,
                evidence = "decayed",
                suspect = false
            );
        }
        if !cleared.is_empty() {
            service.release_queued(now);
        }
    }
}

/// Drops the requests in progress of instances that no longer report theirs. The end of an instance that was no
/// home, or whose last report was lost, shows in nothing else.
fn expire_counts(state: &mut State, now: Moment) {
    for (name, service) in &mut state.services {
        for from in service.balancer.expire_running(now) {
            line!(Event::CountsExpired, service = name, from = from);
            service.release_queued(now);
        }
    }
}

/// Recomputes the homes. If they change, drops what the former ones reported, logs the change and
/// updates this instance's share.
pub fn update_homes(context: &Context, state: &mut State) {
    let now = context.now();
    let before = state.steering.homes().to_vec();
    if !state.steering.update_homes(now) {
        return;
    }
    allowance::sync_fleet(state);
    let homes = state.steering.homes().to_vec();
    for name in before.iter().filter(|name| !homes.contains(name)) {
        for service in state.services.values_mut() {
            service.balancer.forget_instance(name);
        }
    }
    // This instance may have to follow the list of servers now.
    context.servers_wakeup.notify_one();
    line!(
        Event::Placement,
        homes = homes,
        before = before,
        own = state.steering.is_home()
    );
    state.apply_listing(context, now);
}

/// Returns the requests in progress, or only the counts that have changed.
fn request_counts(state: &mut State, full: bool) -> RequestCounts {
    let services = state.services.iter_mut();
    let counts = services.map(|(name, service)| {
        let balancer = &mut service.balancer;
        let counts = if full {
            balancer.report_running()
        } else {
            balancer.report_running_changes()
        };
        (name.clone(), counts)
    });
    counts.filter(|(_, counts)| !counts.is_empty()).collect()
}

/// Reports this instance's requests in progress to the other homes, until the daemon ends.
pub async fn send_counts(context: Arc<Context>) {
    let mut rounds = 0u32;
    let mut sent = false;
    loop {
        tokio::time::sleep(COUNTS_INTERVAL).await;
        rounds = rounds.wrapping_add(1);
        let full = rounds.is_multiple_of(FULL_EVERY);
        let mut state = context.state();
        for packet in bytes::reports(&mut state, full, context.now()) {
            context.send_packet(packet, state.steering.home_peers());
        }
        let successes: HashMap<ServiceName, Vec<ServerName>> = state
            .services
            .iter_mut()
            .map(|(name, service)| (name.clone(), service.take_successes()))
            .filter(|(_, servers)| !servers.is_empty())
            .collect();
        if !state.steering.is_home() && !sent {
            continue;
        }
        let counts = request_counts(&mut state, full);
        // An idle instance sends one more full report, then nothing.
        let idle = counts.is_empty() && successes.is_empty();
        if idle && !(full && sent) {
            continue;
        }
        sent = !idle;
        let from = state.steering.own_card().name.clone();
        let packet = Packet::RequestCounts {
            from,
            full,
            counts,
            successes,
        };
        context.send_packet(packet, state.steering.home_peers());
    }
}
