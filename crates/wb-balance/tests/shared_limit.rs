//! A server's limit is divided among the homes: what all of them send together, on virtual time.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use support::USUAL;
use support::assignment_of;
use support::at;
use support::listed;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::Evidence;
use wb_balance::ServerKey;
use wb_balance::balancer::RefusalCause;
use wb_balance::limit::Audience;
use wb_balance::limit::Division;
use wb_balance::limit::Observation;
use wb_balance::limit::Rate;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

/// Interval of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is named from which it has to be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests that the users allow in a window.
fn allowed(limit: Rate) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn names(count: usize) -> Vec<InstanceName> {
    (0..count)
        .map(|index| format!("front-{index}").into())
        .collect()
}

fn observation(limit: Option<Rate>, now: Moment) -> Observation {
    Observation {
        limit,
        sent: now,
        seen: now,
    }
}

/// An instance with `servers` servers of six slots that knows these homes.
fn instance(own: &InstanceName, homes: &[InstanceName], servers: usize) -> Balancer {
    let mut balancer = service(servers, 6);
    balancer.set_division(Division::new(own.clone(), homes.to_vec()), Moment::ZERO);
    balancer
}

/// Instances that send requests to one server with a limit, and what it got.
struct Fleet {
    limit: Rate,
    instances: Vec<Balancer>,
    running: Vec<(usize, ServerKey, Moment)>,
    arrivals: Vec<Moment>,
    unserved: usize,
}

impl Fleet {
    /// `homes` homes and `others` other instances.
    fn new(homes: usize, others: usize, limit: Rate) -> Self {
        let all = names(homes + others);
        let instances = all.iter().map(|own| instance(own, &all[..homes], 1));
        Self {
            limit,
            instances: instances.collect(),
            running: Vec::new(),
            arrivals: Vec::new(),
            unserved: 0,
        }
    }

    fn set_homes(&mut self, index: usize, homes: &[InstanceName], now: Moment) {
        let own = names(self.instances.len())[index].clone();
        self.instances[index].set_division(Division::new(own, homes.to_vec()), now);
    }

    /// Lets every instance send as many requests as it may, orders and lookups in turn.
    fn step(&mut self, now: Moment) {
        let done = |(_, _, end): &(usize, ServerKey, Moment)| now >= *end;
        let (ended, running) = self.running.drain(..).partition(done);
        self.running = running;
        for (index, key, end) in ended {
            let instance = &mut self.instances[index];
            instance.observe_limit(key, observation(Some(self.limit), end));
            instance.finish(key, "orders", AttemptOutcome::Success(USUAL), now);
        }
        for index in 0..self.instances.len() {
            let idempotent = (now.as_millis() / STEP.as_millis() + index as u128).is_multiple_of(2);
            let instance = &mut self.instances[index];
            let mut assigned = Vec::new();
            match instance.admit(request(idempotent, now), now) {
                Decision::Send(assignment) => assigned.push(assignment),
                Decision::Wait(_) => {}
                Decision::Refuse(_) => self.unserved += 1,
            }
            if let Decision::Send(assignment) = instance.hedge(request(true, now), now) {
                assigned.push(assignment);
            }
            let released = instance.release_queued(now).into_iter();
            assigned.extend(released.filter_map(|one| one.result.ok()));
            for assignment in assigned {
                self.arrivals.push(now);
                self.running.push((index, assignment.key, now + USUAL));
            }
        }
    }

    fn run(&mut self, from: Moment, to: Moment) {
        let mut now = from;
        while now < to {
            self.step(now);
            now += STEP;
        }
    }

    fn most_in_window(&self) -> usize {
        let settled = || self.arrivals.iter().filter(|at| **at >= SETTLE_TIME);
        let counts =
            settled().map(|start| settled().filter(|at| *at >= start && **at < *start + WINDOW));
        counts.map(Iterator::count).max().unwrap_or(0)
    }

    fn check(&self, span: Duration) {
        let most = self.most_in_window();
        assert!(most as f64 <= allowed(self.limit), "{most} in a window");
        let settled = self.arrivals.iter().filter(|at| **at >= SETTLE_TIME);
        let rate = settled.count() as f64 / (span - SETTLE_TIME).as_secs_f64();
        assert!(rate >= self.limit * 0.8, "{rate} a second are used");
    }
}

macro_rules! sums {
    ($($name:ident: $homes:expr, $others:expr, $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new($homes, $others, $limit);
            fleet.run(at(0), at(60_000));
            fleet.check(at(60_000));
        }
    )*};
}

sums! {
    one_home_keeps_the_limit: 1, 0, 1.0;
    three_homes_keep_one_a_second: 3, 29, 1.0;
    three_homes_keep_a_fraction: 3, 29, 0.4;
    three_homes_keep_several_a_second: 3, 29, 1.6;
    three_homes_keep_many_a_second: 3, 29, 12.0;
    twelve_homes_keep_one_a_second: 12, 20, 1.0;
    twelve_homes_keep_many_a_second: 12, 20, 15.0;
    all_of_many_instances_keep_one_a_second: 32, 0, 1.0;
    all_of_many_instances_keep_a_fraction: 32, 0, 0.3;
    three_homes_keep_a_limit_near_the_speed_of_the_server: 3, 3, 15.0;
}

#[test]
fn changes_of_the_homes_keep_the_sum() {
    let mut fleet = Fleet::new(3, 5, 1.0);
    let all = names(8);
    let homes = [[0, 1, 2], [3, 1, 2], [3, 4, 2], [3, 4, 5], [0, 4, 5]];
    for (round, homes) in homes.iter().enumerate() {
        let homes: Vec<InstanceName> = homes.iter().map(|index| all[*index].clone()).collect();
        let begin = at(round as u64 * 8000);
        // The instances learn of the change one after another, within two seconds.
        for index in 0..8 {
            fleet.set_homes(index, &homes, begin + at(index as u64 * 250));
            fleet.run(
                begin + at(index as u64 * 250),
                begin + at((index as u64 + 1) * 250),
            );
        }
        fleet.run(begin + at(2000), begin + at(8000));
    }
    let most = fleet.most_in_window();
    assert!(most as f64 <= allowed(1.0), "{most} in a window");
}

#[test]
fn lowered_limit_is_kept_from_then_on() {
    let mut fleet = Fleet::new(3, 0, 10.0);
    fleet.run(at(0), at(10_000));
    fleet.limit = 1.0;
    fleet.run(at(10_000), at(11_000));
    fleet.arrivals.clear();
    fleet.run(at(11_000), at(30_000));
    fleet.check(at(19_000) + SETTLE_TIME);
}

#[test]
fn server_that_takes_nothing_is_still_asked_whether_the_limit_holds() {
    let mut fleet = Fleet::new(3, 0, 0.0);
    fleet.run(at(0), at(120_000));
    let settled = fleet.arrivals.iter().filter(|at| **at >= SETTLE_TIME);
    let count = settled.count();
    assert!((3..=15).contains(&count), "{count} requests in two minutes");
}

/// A home among three with one server, whose limit it has just learnt.
fn home_with_limit(limit: Rate, now: Moment) -> Balancer {
    let all = names(3);
    let mut balancer = instance(&all[0], &all, 1);
    balancer.observe_peer_limit(&"s0".into(), observation(Some(limit), now), now);
    balancer
}

#[test]
fn too_much_demand_is_refused_at_once_with_the_time_until_there_is_room() {
    let mut balancer = home_with_limit(1.0, at(0));
    // A third of a request a second is this home's part, and callers wait ten seconds.
    let waiting = (0..).find(|_| {
        !matches!(
            balancer.admit(request(false, at(0)), at(0)),
            Decision::Wait(_)
        )
    });
    assert_matches!(waiting, Some(2..=3));
    let refused = balancer.admit(request(false, at(0)), at(0));
    let Decision::Refuse(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoRoom);
    assert!(refusal.retry_after > at(1000), "{:?}", refusal.retry_after);
}

#[test]
fn instance_without_a_part_refuses_at_once() {
    let all = names(4);
    let mut balancer = instance(&all[3], &all[..3], 1);
    balancer.observe_peer_limit(&"s0".into(), observation(Some(1.0), at(0)), at(0));
    let decision = balancer.admit(request(false, at(1)), at(1));
    assert_matches!(decision, Decision::Refuse(refusal) if refusal.retry_after < at(1000));
}

#[test]
fn queued_requests_are_refused_when_the_instance_loses_its_part() {
    let mut balancer = home_with_limit(1.0, at(0));
    assert_matches!(
        balancer.admit(request(false, at(1)), at(1)),
        Decision::Wait(_)
    );
    let all = names(4);
    balancer.set_division(Division::new(all[0].clone(), all[1..].to_vec()), at(2));
    let released = balancer.release_queued(at(20));
    assert_eq!(released.len(), 1);
    assert_matches!(&released[0].result, Err(refusal) if refusal.cause == RefusalCause::NoRoom);
}

#[test]
fn queued_requests_that_a_new_limit_leaves_no_room_for_are_refused_at_once() {
    let all = names(3);
    let mut balancer = instance(&all[0], &all, 1);
    for _ in 0..20 {
        balancer.admit(request(false, at(0)), at(0));
    }
    assert_eq!(balancer.queued_count(), 14);
    balancer.observe_peer_limit(&"s0".into(), observation(Some(1.0), at(1)), at(1));
    let refused = balancer.release_queued(at(20));
    let is_true = |refusal: &wb_balance::Refusal| refusal.cause == RefusalCause::NoRoom;
    assert!(
        refused
            .iter()
            .all(|one| one.result.as_ref().is_err_and(is_true))
    );
    assert!((2..=4).contains(&balancer.queued_count()));
}

#[test]
fn other_servers_are_used_while_one_is_limited() {
    let all = names(3);
    let mut balancer = instance(&all[0], &all, 2);
    balancer.observe_peer_limit(&"s0".into(), observation(Some(0.5), at(0)), at(0));
    for _ in 0..6 {
        let assignment = assignment_of(balancer.admit(request(false, at(1)), at(1)));
        assert_eq!(&*assignment.server.name, "s1");
    }
}

#[test]
fn limited_server_is_not_suspect() {
    let mut balancer = home_with_limit(1.0, at(0));
    let now = at(4000);
    let assignment = assignment_of(balancer.admit(request(false, now), now));
    balancer.finish(assignment.key, "orders", AttemptOutcome::Shed, now);
    assert_eq!(balancer.suspect_count(), 0);
}

#[test]
fn trial_of_a_suspect_keeps_the_limit() {
    let mut balancer = service(2, 6);
    let evidence = Evidence::Cut;
    balancer.record_peer_evidence(&"s0".into(), evidence, at(0));
    balancer.observe_peer_limit(&"s0".into(), observation(Some(0.0), at(0)), at(0));
    for step in 1..100 {
        let now = at(step * 20);
        let assignment = assignment_of(balancer.admit(request(true, now), now));
        assert_eq!(&*assignment.server.name, "s1");
        balancer.finish(
            assignment.key,
            "orders",
            AttemptOutcome::Success(USUAL),
            now,
        );
    }
}

#[test]
fn lifted_limit_binds_no_longer() {
    let mut balancer = home_with_limit(0.2, at(0));
    balancer.observe_peer_limit(&"s0".into(), observation(None, at(10)), at(11));
    assignment_of(balancer.admit(request(false, at(12)), at(12)));
    assignment_of(balancer.admit(request(false, at(12)), at(12)));
    assert_eq!(balancer.limited_count(), 0);
}

#[test]
fn limit_of_another_server_at_a_reused_address_is_forgotten() {
    let mut balancer = home_with_limit(0.2, at(0));
    let mut moved = listed("s0", "a", 6);
    moved.server.address = "10.0.0.2:80".parse().expect("an address");
    balancer.update(&[moved], at(10));
    assert_eq!(balancer.limited_count(), 0);
}

#[test]
fn home_without_a_part_forgets_a_limit_that_nobody_reports() {
    let all = names(12);
    let server = "s0".into();
    let mut homes: Vec<Balancer> = all.iter().map(|own| instance(own, &all, 1)).collect();
    for home in &mut homes {
        home.observe_peer_limit(&server, observation(Some(1.0), at(0)), at(0));
    }
    let holders = |homes: &[Balancer]| homes.iter().filter(|one| one.limited_count() == 1).count();
    let reporters: Vec<usize> = (0..12)
        .filter(|index| {
            !homes[*index]
                .reported_limits(Audience::OtherHomes)
                .is_empty()
        })
        .collect();
    assert_eq!(reporters.len(), 1, "one home reports each limit");
    for home in &mut homes {
        home.expire_limits(at(30_000));
    }
    assert_eq!(holders(&homes), 12);
    for home in &mut homes {
        home.expire_limits(at(40_000));
    }
    assert_eq!(
        holders(&homes),
        4,
        "those that hold a part see the responses"
    );
}
