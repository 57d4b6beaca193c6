//! Beats, and the choice of homes that goes with them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wb_event::Event;
use wb_event::line;
use wb_types::id::ServerName;
use wb_types::id::ServiceName;

use super::Packet;
use super::packet::Beat;
use super::packet::Running;
use crate::Context;
use crate::context::State;

/// Time between beats of a candidate; a quarter of the silence after which it is passed over.
const BEAT: Duration = Duration::from_millis(300);
/// Time between the counts of running requests that homes tell each other; a fifth of a usual
/// request.
const RUNNING: Duration = Duration::from_millis(60);
/// Every so many times all of it is told, and else what has changed: a lost datagram leaves the
/// others wrong for a second.
const WHOLE: u32 = 16;
/// Processor share that the homes need for each slot of the backend servers, in cores: a
/// thousandth of a core carries one request a second, of which a slot takes two.
const CORES_PER_SLOT: f32 = 0.0015;

/// A beat of this instance.
pub fn beat(context: &Context, state: &State, hello: bool) -> Packet {
    let steering = &state.steering;
    Packet::Beat(Box::new(Beat {
        card: steering.own_card().clone(),
        home: steering.is_home() && !context.is_leaving(),
        hello,
        routes: state.routes.as_ref().map_or(0, |routes| routes.version),
        listing: state.listing.content_version().unwrap_or(0),
        age: context.now().saturating_sub(state.listing_seen),
        candidates: if steering.is_home() {
            steering.candidates().to_vec()
        } else {
            Vec::new()
        },
    }))
}

/// Beats until the daemon ends.
pub async fn run(context: Arc<Context>) {
    loop {
        step(&context);
        tokio::time::sleep(BEAT).await;
    }
}

fn step(context: &Context) {
    let now = context.now();
    let mut state = context.state();
    let slots: u32 = state
        .listing
        .entries()
        .values()
        .map(|entry| entry.server.slots)
        .sum();
    state
        .steering
        .set_required_cores(slots as f32 * CORES_PER_SLOT);
    crate::follow::servers::expire(context, &mut state);
    choose(context, &mut state);
    if state.steering.is_candidate() && !context.is_leaving() {
        let packet = beat(context, &state, false);
        context.tell(packet, state.steering.heartbeat_targets());
    }
    let metrics = &context.metrics;
    let age = |seen| now.saturating_sub(seen).as_millis() as i64;
    metrics.listing_age.set(age(state.listing_seen));
    metrics.routes_age.set(age(state.routes_seen));
    metrics.lines_dropped.set(wb_event::line::dropped() as i64);
}

/// Chooses the homes anew, and makes the change known.
pub fn choose(context: &Context, state: &mut State) {
    let now = context.now();
    let before = state.steering.homes().to_vec();
    if !state.steering.update_homes(now) {
        return;
    }
    let homes = state.steering.homes().to_vec();
    for name in before.iter().filter(|name| !homes.contains(name)) {
        for service in state.services.values_mut() {
            service.balancer.forget_instance(name);
        }
    }
    line!(
        Event::Placement,
        homes = homes,
        before = before,
        own = state.steering.is_home()
    );
    state.spread(context, now);
}

/// What is running, or what has changed of it.
fn running(state: &mut State, whole: bool) -> Running {
    let services = state.services.iter_mut();
    let counts = services.map(|(name, service)| {
        let balancer = &mut service.balancer;
        let counts = if whole {
            balancer.report_running()
        } else {
            balancer.report_running_changes()
        };
        (name.clone(), counts)
    });
    counts.filter(|(_, counts)| !counts.is_empty()).collect()
}

/// Tells the other homes what is running, until the daemon ends.
pub async fn tell_running(context: Arc<Context>) {
    let mut rounds = 0u32;
    let mut told = false;
    loop {
        tokio::time::sleep(RUNNING).await;
        rounds = rounds.wrapping_add(1);
        let whole = rounds.is_multiple_of(WHOLE);
        let mut state = context.state();
        let good: HashMap<ServiceName, Vec<ServerName>> = state
            .services
            .iter_mut()
            .map(|(name, service)| (name.clone(), service.take_good()))
            .filter(|(_, servers)| !servers.is_empty())
            .collect();
        if !state.steering.is_home() && !told {
            continue;
        }
        let running = running(&mut state, whole);
        // An instance that has nothing running says so once more, and then nothing.
        let idle = running.is_empty() && good.is_empty();
        if idle && !(whole && told) {
            continue;
        }
        told = !idle;
        let from = state.steering.own_card().name.clone();
        let packet = Packet::Running {
            from,
            whole,
            running,
            good,
        };
        context.tell(packet, state.steering.home_peers());
    }
}
