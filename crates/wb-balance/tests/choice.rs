//! Which server a request goes to.

mod support;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use assert_matches::assert_matches;
use support::USUAL;
use support::ask;
use support::at;
use support::cut_one;
use support::go;
use support::listed;
use support::prove;
use support::service;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::SendOutcome;
use wb_balance::balancer::RefusalCause;
use wb_types::roster::Lifecycle;

#[test]
fn orders_do_not_go_to_a_suspect_while_another_has_room() {
    let mut balancer = service(3, 6);
    prove(&mut balancer, 3, at(0));
    let sick = cut_one(&mut balancer, at(10));
    for _ in 0..12 {
        let grant = go(balancer.admit(ask(false, at(20)), at(20)));
        assert_ne!(*grant.server.name, *sick);
    }
}

#[test]
fn idempotent_work_tries_a_suspect_when_its_trial_is_due() {
    let mut balancer = service(3, 6);
    prove(&mut balancer, 3, at(0));
    let sick = cut_one(&mut balancer, at(10));
    let grant = go(balancer.admit(ask(true, at(600)), at(600)));
    assert_eq!(*grant.server.name, *sick);
    assert!(grant.trial);
    let next = go(balancer.admit(ask(true, at(600)), at(600)));
    assert_ne!(*next.server.name, *sick, "one trial at a time");
}

#[test]
fn sound_servers_are_visited_though_more_trials_are_due_than_requests_come() {
    let mut balancer = service(100, 6);
    prove(&mut balancer, 100, at(0));
    let sick: HashSet<String> = (0..60).map(|_| cut_one(&mut balancer, at(10))).collect();
    let mut visited = HashSet::new();
    for tick in 0..100 {
        let now = at(1500 + tick * 20);
        let grant = go(balancer.admit(ask(true, now), now));
        let name = grant.server.name.clone();
        let ending = if sick.contains(&*name) {
            SendOutcome::Failure(Evidence::Cut)
        } else {
            visited.insert(name);
            SendOutcome::Success(USUAL)
        };
        balancer.finish(grant.key, "orders", ending, now);
    }
    assert_eq!(visited.len(), 100 - sick.len());
}

#[test]
fn a_request_that_may_be_sent_once_only_tries_nothing() {
    let mut balancer = service(3, 6);
    prove(&mut balancer, 3, at(0));
    let sick = cut_one(&mut balancer, at(10));
    let mut once = ask(true, at(600));
    once.sends_left = 1;
    let grant = go(balancer.admit(once, at(600)));
    assert_ne!(*grant.server.name, *sick);
}

#[test]
fn a_second_send_tries_nothing_and_goes_to_another_server() {
    let mut balancer = service(3, 6);
    prove(&mut balancer, 3, at(0));
    let sick = cut_one(&mut balancer, at(10));
    let first = go(balancer.admit(ask(true, at(600)), at(600)));
    balancer.finish(
        first.key,
        "orders",
        SendOutcome::Failure(Evidence::Cut),
        at(601),
    );
    let mut again = ask(true, at(600));
    again.tried = vec![first.key];
    let second = go(balancer.retry(again, at(601)));
    assert_ne!(second.key, first.key);
    assert_ne!(*second.server.name, *sick);
}

#[test]
fn idle_servers_are_visited_in_turn_by_idempotent_work() {
    let mut balancer = service(20, 6);
    let mut seen = HashSet::new();
    for _ in 0..20 {
        let grant = go(balancer.admit(ask(true, at(0)), at(0)));
        seen.insert(grant.server.name.to_string());
    }
    assert_eq!(seen.len(), 20);
}

#[test]
fn servers_that_shed_are_left_alone_for_a_moment_and_not_convicted() {
    let mut balancer = service(2, 6);
    prove(&mut balancer, 2, at(0));
    let first = go(balancer.admit(ask(false, at(10)), at(10)));
    balancer.finish(first.key, "orders", SendOutcome::Shed, at(11));
    let second = go(balancer.admit(ask(false, at(12)), at(12)));
    assert_ne!(second.key, first.key);
    assert_eq!(balancer.suspect_count(), 0);
}

#[test]
fn an_address_that_another_server_has_gets_nothing_more() {
    let mut balancer = service(2, 6);
    let first = go(balancer.admit(ask(false, at(0)), at(0)));
    balancer.finish(first.key, "orders", SendOutcome::Misdirected, at(1));
    for _ in 0..6 {
        let grant = go(balancer.admit(ask(false, at(2)), at(2)));
        assert_ne!(grant.key, first.key);
    }
}

#[test]
fn leaving_and_vanished_servers_get_nothing_more() {
    let mut balancer = service(3, 6);
    let mut leaving = listed("s0", "a", 6);
    leaving.server.lifecycle = Lifecycle::Leaving;
    balancer.update(&[leaving, listed("s1", "a", 6)], at(1));
    for _ in 0..6 {
        let grant = go(balancer.admit(ask(false, at(2)), at(2)));
        assert_eq!(&*grant.server.name, "s1");
    }
}

#[test]
fn what_others_have_running_takes_slots() {
    let mut balancer = service(1, 2);
    let counts = HashMap::from([("s0".into(), 2)]);
    balancer.set_running(&"other".into(), &counts);
    assert_matches!(balancer.admit(ask(false, at(0)), at(0)), Decision::Wait(_));
    balancer.forget_instance("other");
    assert_eq!(balancer.release_waiting(at(1)).len(), 1);
}

#[test]
fn counts_of_running_work_are_told_when_they_change() {
    let mut home = service(2, 2);
    let mut other = service(2, 1);
    let grant = go(home.admit(ask(false, at(0)), at(0)));
    let changes = home.report_running_changes();
    assert_eq!(changes, HashMap::from([(grant.server.name.clone(), 1)]));
    assert!(home.report_running_changes().is_empty());
    other.update_running(&"home".into(), &changes);
    let elsewhere = go(other.admit(ask(false, at(0)), at(0)));
    assert_ne!(elsewhere.server.name, grant.server.name);
    home.finish(grant.key, "orders", SendOutcome::Success(USUAL), at(300));
    other.update_running(&"home".into(), &home.report_running_changes());
    let back = go(other.admit(ask(false, at(300)), at(300)));
    assert_eq!(back.server.name, grant.server.name);
}

#[test]
fn a_nearer_server_is_preferred_while_it_has_room() {
    let mut balancer = service(1, 6);
    balancer.update(&[listed("near", "a", 6), listed("far", "b", 6)], at(0));
    prove(&mut balancer, 2, at(0));
    let grant = go(balancer.admit(ask(false, at(1)), at(1)));
    assert_eq!(&*grant.server.name, "near");
}

#[test]
fn a_server_started_anew_at_another_address_is_not_judged_by_its_past() {
    let mut balancer = service(1, 6);
    let sick = cut_one(&mut balancer, at(0));
    assert_eq!(balancer.suspect_count(), 1);
    let mut moved = listed(&sick, "a", 6);
    moved.server.address = "10.0.0.2:80".parse().expect("an address");
    balancer.update(&[moved], at(1));
    assert_eq!(balancer.suspect_count(), 0);
}

#[test]
fn without_servers_a_request_is_refused_at_once() {
    let mut balancer = service(0, 6);
    let offer = balancer.admit(ask(false, at(0)), at(0));
    assert_matches!(offer, Decision::Refuse(refusal) if refusal.cause == RefusalCause::NoServer);
}

#[test]
fn with_suspects_alone_an_order_goes_to_the_one_that_answers_most_at_once() {
    let mut balancer = service(2, 6);
    prove(&mut balancer, 2, at(0));
    let first = cut_one(&mut balancer, at(0));
    let second = cut_one(&mut balancer, at(0));
    assert_ne!(first, second);
    let trial = go(balancer.admit(ask(true, at(600)), at(600)));
    let took = Duration::from_millis(50);
    balancer.finish(trial.key, "orders", SendOutcome::Success(took), at(650));
    assert_eq!(balancer.suspect_count(), 2, "one answer clears nobody");
    let grant = go(balancer.admit(ask(false, at(660)), at(660)));
    assert_eq!(grant.key, trial.key);
}

#[test]
fn a_trial_passes_work_that_waits() {
    let mut balancer = service(2, 1);
    prove(&mut balancer, 2, at(0));
    let sick = cut_one(&mut balancer, at(0));
    go(balancer.admit(ask(false, at(1)), at(1)));
    assert_matches!(balancer.admit(ask(false, at(2)), at(2)), Decision::Wait(_));
    let trial = go(balancer.admit(ask(true, at(600)), at(600)));
    assert_eq!(*trial.server.name, *sick);
}

/// Servers that get orders among twenty, after so many of a hundred sends failed.
fn used_after(failures: u64) -> usize {
    let mut balancer = service(20, 6);
    for index in 0..300 {
        let now = at(index * 10);
        let grant = go(balancer.admit(ask(false, now), now));
        let ending = if index % 100 < failures {
            SendOutcome::Timeout
        } else {
            SendOutcome::Success(Duration::from_millis(5))
        };
        balancer.finish(grant.key, "orders", ending, now);
    }
    let mut used = HashSet::new();
    let mut held = Vec::new();
    for index in 0..40 {
        let now = at(3000 + index);
        let grant = go(balancer.admit(ask(false, now), now));
        used.insert(grant.server.name.to_string());
        held.push(grant);
    }
    used.len()
}

#[test]
fn orders_gather_on_proven_servers_while_failures_are_rare() {
    assert!(used_after(0) <= 17, "{} of 20", used_after(0));
}

#[test]
fn orders_spread_over_all_servers_while_failures_are_common() {
    assert!(used_after(30) >= 19, "{} of 20", used_after(30));
}
