//! Memory for bodies: what a team that holds much of it leaves to others.

use std::sync::Arc;

use wb_balance::TeamShare;
use wb_gateway::proxy::buffers::BufferedBody;
use wb_gateway::proxy::buffers::Buffers;
use wb_gateway::proxy::buffers::Reservation;

/// Memory, in bytes.
const SIZE: usize = 1_000_000;
/// Size of a body, in bytes.
const BODY: usize = 10_000;

fn share(team: &str, weight: f64) -> Option<TeamShare> {
    Some(TeamShare {
        team: team.into(),
        weight,
    })
}

/// Holds bodies of a team until one finds no memory.
fn fill(buffers: &Arc<Buffers>, share: &Option<TeamShare>) -> Vec<Reservation> {
    let mut held = Vec::new();
    loop {
        let mut reservation = buffers.reserve(share.clone());
        if !reservation.grow(BODY) {
            return held;
        }
        held.push(reservation);
    }
}

#[test]
fn team_may_take_all_if_nobody_else_asks() {
    let buffers = Buffers::new(SIZE);
    let held = fill(&buffers, &share("hot", 1.0));
    assert_eq!(held.len(), SIZE / BODY);
    assert_eq!(buffers.free(), 0);
    drop(held);
    assert_eq!(buffers.free(), SIZE);
}

#[test]
fn hot_team_that_fills_the_memory_leaves_others_their_part() {
    let buffers = Buffers::new(SIZE);
    let small = share("small", 1.0);
    let mut first = buffers.reserve(small.clone());
    assert!(first.grow(BODY));
    let hot = fill(&buffers, &share("hot", 3.0));
    assert!((70..=77).contains(&hot.len()), "{} bodies", hot.len());
    let others = fill(&buffers, &small);
    assert!(others.len() >= 22, "{} bodies", others.len());
}

#[test]
fn memory_that_is_free_again_is_no_longer_held_against_a_team() {
    let buffers = Buffers::new(SIZE);
    let mut other = buffers.reserve(share("other", 1.0));
    assert!(other.grow(BODY));
    drop(fill(&buffers, &share("hot", 1.0)));
    let again = fill(&buffers, &share("hot", 1.0));
    assert!((49..=51).contains(&again.len()), "{} bodies", again.len());
}

#[test]
fn bytes_keep_their_memory_until_the_last_copy_is_dropped() {
    let buffers = Buffers::new(SIZE);
    let mut reservation = buffers.reserve(None);
    assert!(reservation.grow(BODY));
    let bytes = reservation.hold(vec![1; BODY].into());
    let rest = bytes.slice(BODY / 2..);
    drop(bytes);
    assert_eq!(buffers.free(), SIZE - BODY);
    drop(rest);
    assert_eq!(buffers.free(), SIZE);
}

#[test]
fn body_that_was_passed_on_keeps_its_memory_until_it_is_written() {
    let buffers = Buffers::new(SIZE);
    let mut reservation = buffers.reserve(None);
    assert!(reservation.grow(BODY));
    let mut body = BufferedBody::new(vec![1; BODY].into(), reservation);
    let unwritten = body.take();
    drop(body);
    assert_eq!(buffers.free(), SIZE - BODY);
    drop(unwritten);
    assert_eq!(buffers.free(), SIZE);
}
