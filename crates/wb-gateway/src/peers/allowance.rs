//! Leases of allowances, and questions for tokens.
//!
//! No instance sends any of this unless a team of the configuration in force has an allowance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wb_allowance::Grant;
use wb_allowance::Lease;
use wb_allowance::Offer;
use wb_allowance::Question;
use wb_event::Event;
use wb_event::line;
use wb_types::id::InstanceName;

use super::Packet;
use crate::Context;
use crate::clock;
use crate::context::State;

/// Interval at which it is checked whether the routes and the other instances are known.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether a team has an allowance.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Gives the ledger the teams of the routes in force.
pub fn apply_teams(state: &mut State) {
    let Some(routes) = state.routes.clone() else {
        return;
    };
    let teams = routes.teams.teams();
    let limited = teams.filter_map(|(name, team)| Some((name, team.allowance?)));
    state.allowances.set_teams(limited, clock::boot_time());
    sync_fleet(state);
}

/// Gives the ledger the other instances and the homes, so that it can ask them.
pub fn sync_fleet(state: &mut State) {
    if !state.allowances.is_active() || !state.members_read {
        return;
    }
    let members = member_names(state);
    let homes = state.steering.homes().to_vec();
    let now = clock::boot_time();
    state.allowances.set_fleet(members, &homes, now);
}

/// Renews the leases until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut before = 0;
    loop {
        let interval = step(&context, &mut before);
        tokio::time::sleep(interval).await;
    }
}

/// Sends offers, and returns the time until the next ones. `before` is the number of leases that was
/// last logged.
fn step(context: &Context, before: &mut usize) -> Duration {
    let mut state = context.state();
    if state.routes.is_none() || !state.members_read {
        return START_INTERVAL;
    }
    if !state.allowances.is_active() {
        return IDLE_INTERVAL;
    }
    sync_fleet(&mut state);
    let now = clock::boot_time();
    let (offer, targets) = state.allowances.tick(now);
    let targets = targets.to_vec();
    let addresses = state.steering.addresses_of(&targets);
    context.send_packet(Packet::AllowanceOffer(offer), addresses);
    let (leases, part) = (state.allowances.lease_count(), state.allowances.part());
    if leases != *before {
        line!(
            Event::LeasesChanged,
            leases = leases,
            before = *before,
            part = part
        );
        *before = leases;
    }
    context.metrics.allowances.part.set(part);
    let levels = state.allowances.levels(now);
    context.metrics.allowances.set_levels(levels);
    state.allowances.offer_interval()
}

/// Names of all instances that have not left, in the same order each time.
fn member_names(state: &State) -> Vec<InstanceName> {
    let cards = state.steering.cards().into_iter();
    let mut names: Vec<InstanceName> = cards.map(|card| card.name).collect();
    names.sort();
    names
}

/// Leases this instance's part to the home that has sent an offer, if it may.
pub fn handle_offer(context: &Context, offer: &Offer, peer: SocketAddr) {
    let now = clock::boot_time();
    if let Some(lease) = context.state().allowances.handle_offer(offer, now) {
        context.send_packet(Packet::AllowanceLease(lease), vec![peer]);
    }
}

/// Takes the part of another instance.
pub fn handle_lease(context: &Context, lease: &Lease) {
    let now = clock::boot_time();
    context.state().allowances.handle_lease(lease, now);
}

/// Lends tokens to another instance.
pub fn handle_question(context: &Context, question: &Question, peer: SocketAddr) {
    let now = clock::boot_time();
    let grant = context.state().allowances.handle_question(question, now);
    context.send_packet(Packet::AllowanceGrant(grant), vec![peer]);
}

/// Takes tokens that another instance lends, and wakes the requests that wait for them.
pub fn handle_grant(context: &Context, grant: &Grant) {
    let now = clock::boot_time();
    if context.state().allowances.handle_grant(grant, now) {
        context.allowance_wakeup.notify_waiters();
    }
}

/// Sends the questions that decisions have led to.
pub fn send_questions(context: &Context, state: &mut State) {
    for (target, question) in state.allowances.take_questions() {
        let addresses = state.steering.addresses_of(&[target]);
        context.send_packet(Packet::AllowanceQuestion(question), addresses);
    }
}
