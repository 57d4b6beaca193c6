//! Lasting overload: limits leave room for a part of the requests. What callers get, on virtual time.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use support::USUAL;
use support::at;
use support::request;
use support::service;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::ServerKey;
use wb_balance::WaitKey;
use wb_balance::limit::Observation;
use wb_balance::limit::Rate;
use wb_types::id::Moment;

/// Interval between requests.
const INTERVAL: Duration = Duration::from_millis(30);
/// Time for which requests arrive.
const SPAN: Duration = Duration::from_secs(60);

/// Time after which the overload is known to last, as long as requests wait at most.
const LASTING: Duration = Duration::from_secs(12);
/// Latency target of the requests.
const TARGET_LATENCY: Duration = Duration::from_millis(1500);

/// What callers got.
#[derive(Debug, Default)]
struct Outcomes {
    in_time: usize,
    refused_at_once: usize,
    /// Requests that were refused in the end: when, and for how long they had been held.
    held: Vec<(Moment, Duration)>,
}

struct Load {
    balancer: Balancer,
    waiting: HashMap<WaitKey, Moment>,
    running: Vec<(ServerKey, Moment, Moment)>,
    outcomes: Outcomes,
}

impl Load {
    /// Ten servers with this limit each.
    fn new(limit: Rate) -> Self {
        let mut balancer = service(10, 6);
        for index in 0..10 {
            let observation = Observation {
                limit: Some(limit),
                sent: at(0),
                seen: at(0),
            };
            balancer.observe_peer_limit(&format!("s{index}").into(), observation, at(0));
        }
        Self {
            balancer,
            waiting: HashMap::new(),
            running: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn start(&mut self, key: ServerKey, arrived: Moment, now: Moment) {
        self.running.push((key, arrived, now + USUAL));
    }

    fn step(&mut self, now: Moment) {
        let (ended, running) = self
            .running
            .drain(..)
            .partition::<Vec<_>, _>(|(_, _, end)| *end <= now);
        self.running = running;
        for (key, arrived, end) in ended {
            self.balancer
                .finish(key, "orders", AttemptOutcome::Success(USUAL), now);
            if end <= arrived + TARGET_LATENCY {
                self.outcomes.in_time += 1;
            }
        }
        for released in self.balancer.release_queued(now) {
            let arrived = self.waiting.remove(&released.key).expect("it waited");
            match released.result {
                Ok(assignment) => self.start(assignment.key, arrived, now),
                Err(_) => self.outcomes.held.push((now, now - arrived)),
            }
        }
    }

    fn arrive(&mut self, now: Moment) {
        match self.balancer.admit(request(false, now), now) {
            Decision::Send(assignment) => self.start(assignment.key, now, now),
            Decision::Wait(key) => {
                self.waiting.insert(key, now);
            }
            Decision::Refuse(_) => self.outcomes.refused_at_once += 1,
        }
    }
}

/// Plays 33 requests a second at ten servers with a limit of one a second each.
fn play() -> Outcomes {
    let mut load = Load::new(1.0);
    let mut now = at(0);
    while now < SPAN {
        load.step(now);
        load.arrive(now);
        now += INTERVAL;
    }
    load.outcomes
}

#[test]
fn requests_that_can_not_be_served_are_not_held_until_their_deadline() {
    let outcomes = play();
    let Outcomes { in_time, held, .. } = &outcomes;
    let room = 10.0 * SPAN.as_secs_f64();
    assert!(*in_time as f64 >= 0.9 * room, "{in_time} of {room} in time");
    let lasting = held.iter().filter(|(at, _)| *at > LASTING);
    let longest = lasting.map(|(_, held)| *held).max().unwrap_or_default();
    assert!(longest <= TARGET_LATENCY, "held for {longest:?}");
}

#[test]
fn requests_of_a_short_burst_wait_for_their_slot() {
    let mut load = Load::new(5.0);
    let mut now = at(0);
    while now < SPAN / 4 {
        load.step(now);
        if now < at(1500) {
            load.arrive(now);
        }
        now += INTERVAL;
    }
    let outcomes = load.outcomes;
    assert!(outcomes.held.is_empty(), "{:?}", outcomes.held);
    assert_eq!(outcomes.refused_at_once, 0);
}
