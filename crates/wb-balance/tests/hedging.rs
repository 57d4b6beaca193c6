//! Hedged attempts within a limit, under the loads that they are meant for and those in which they must not
//! be sent.

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::request;
use support::service;
use wb_balance::Assignment;
use wb_balance::AttemptOutcome;
use wb_balance::Balancer;
use wb_balance::Decision;
use wb_balance::HedgeLimit;
use wb_balance::Hedging;
use wb_balance::RequestInfo;
use wb_balance::ServerKey;
use wb_types::id::Moment;

const SERVERS: usize = 6;
const SLOTS: u32 = 6;
/// Durations of requests at a sound server, in milliseconds.
const USUAL: std::ops::Range<u64> = 50..150;
/// How much longer a slow one takes.
const SLOW_FACTOR: u64 = 8;
/// Time in which the durations of the route become known.
const KNOWN: Duration = Duration::from_secs(20);
/// Time in which a service that is slow as a whole is recognized.
const NOTICE: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(50);

/// Load on a service.
#[derive(Clone, Copy)]
struct Load {
    /// Requests a second.
    rate: u64,
    /// Whether a request that starts at a moment is slow, at the server with this index.
    slow: fn(usize, Moment, &mut SmallRng) -> bool,
    limit: Option<HedgeLimit>,
}

/// What happens next. Numbers are those of requests.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Next {
    Arrival,
    Due(usize),
    End(usize, ServerKey, u64),
}

struct Request {
    info: RequestInfo,
    tried: Vec<ServerKey>,
    took: Option<Duration>,
}

/// A play of a load.
struct Play {
    load: Load,
    balancer: Balancer,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Moment, u64, Next)>>,
    serial: u64,
    requests: Vec<Request>,
    waiting: Vec<(wb_balance::WaitKey, usize)>,
    /// When hedged attempts were sent.
    hedges: Vec<Moment>,
    /// Hedged attempts that were sent while requests waited.
    beside_queue: usize,
}

impl Play {
    fn run(load: Load) -> Self {
        let mut balancer = service(SERVERS, SLOTS);
        balancer.limit_hedges(load.limit);
        let mut play = Self {
            load,
            balancer,
            random: SmallRng::seed_from_u64(7),
            events: BinaryHeap::new(),
            serial: 0,
            requests: Vec::new(),
            waiting: Vec::new(),
            hedges: Vec::new(),
            beside_queue: 0,
        };
        play.add(Moment::ZERO, Next::Arrival);
        while let Some(Reverse((now, _, next))) = play.events.pop() {
            match next {
                Next::Arrival => play.arrive(now),
                Next::Due(number) => play.hedge(number, now),
                Next::End(number, key, millis) => play.end(number, key, millis, now),
            }
        }
        play
    }

    fn add(&mut self, at: Moment, next: Next) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, next)));
    }

    fn arrive(&mut self, now: Moment) {
        let number = self.requests.len();
        let mut info = request(true, now);
        info.deadline = now + Duration::from_secs(3);
        self.requests.push(Request {
            info: info.clone(),
            tried: Vec::new(),
            took: None,
        });
        match self.balancer.admit(info, now) {
            Decision::Send(assignment) => self.start(number, &assignment, now),
            Decision::Wait(key) => self.waiting.push((key, number)),
            Decision::Refuse(_) => {}
        }
        let pause = self.random.random_range(0..2_000_000 / self.load.rate);
        let next = now + Duration::from_micros(pause);
        if next < END {
            self.add(next, Next::Arrival);
        }
    }

    fn start(&mut self, number: usize, assignment: &Assignment, now: Moment) {
        let key = assignment.key;
        let first = self.requests[number].tried.is_empty();
        self.requests[number].tried.push(key);
        let server = assignment.server.name[1..].parse().expect("a number");
        let slow = (self.load.slow)(server, now, &mut self.random);
        let usual = self.random.random_range(USUAL);
        let millis = if slow { usual * SLOW_FACTOR } else { usual };
        self.add(
            now + Duration::from_millis(millis),
            Next::End(number, key, millis),
        );
        let route = self.requests[number].info.route.clone();
        if let Some(hedging) = self.balancer.hedging().filter(|_| first)
            && let Some(delay) = hedging.delay(&route, false, now)
        {
            self.add(now + delay, Next::Due(number));
        }
    }

    fn hedge(&mut self, number: usize, now: Moment) {
        let request = &self.requests[number];
        if request.took.is_some() {
            return;
        }
        let mut info = request.info.clone();
        info.tried = request.tried.clone();
        self.balancer.hedging().expect("a limit").record_due();
        let waiting = self.balancer.queued_count();
        if let Decision::Send(assignment) = self.balancer.hedge(info, now) {
            self.hedges.push(now);
            self.beside_queue += waiting;
            self.start(number, &assignment, now);
        }
    }

    /// Ends an attempt. The others of the request are cancelled.
    fn end(&mut self, number: usize, key: ServerKey, millis: u64, now: Moment) {
        let request = &mut self.requests[number];
        if request.took.is_some() {
            return;
        }
        request.took = Some(now - request.info.arrived);
        let route = request.info.route.clone();
        let first = request.tried[0];
        for other in request
            .tried
            .clone()
            .into_iter()
            .filter(|other| *other != key)
        {
            self.balancer
                .finish(other, &route, AttemptOutcome::Inconclusive, now);
        }
        if first != key
            && let Some(hedging) = self.balancer.hedging()
        {
            hedging.record_duration(&route, now - self.requests[number].info.arrived, now);
        }
        let took = Duration::from_millis(millis);
        self.balancer
            .finish(key, &route, AttemptOutcome::Success(took), now);
        for released in self.balancer.release_queued(now) {
            let index = self
                .waiting
                .iter()
                .position(|(key, _)| *key == released.key);
            let (_, number) = self.waiting.swap_remove(index.expect("it waited"));
            if let Ok(assignment) = released.result {
                self.start(number, &assignment, now);
            }
        }
    }

    /// Requests that arrived in a span.
    fn arrived(&self, from: Moment, until: Moment) -> usize {
        let arrived = self.requests.iter().map(|request| request.info.arrived);
        arrived.filter(|at| (from..until).contains(at)).count()
    }

    fn hedged(&self, from: Moment, until: Moment) -> usize {
        let hedges = self.hedges.iter();
        hedges.filter(|at| (from..until).contains(at)).count()
    }

    /// A quantile of the time that requests took, once the durations are known.
    fn quantile(&self, quantile: f64) -> Duration {
        let known = self
            .requests
            .iter()
            .filter(|request| request.info.arrived >= KNOWN);
        let mut took: Vec<Duration> = known.filter_map(|request| request.took).collect();
        took.sort();
        took[(took.len() as f64 * quantile) as usize]
    }
}

fn limit(share: f64) -> Option<HedgeLimit> {
    Some(HedgeLimit {
        share,
        quantile: 0.95,
    })
}

fn a_few_slow(_: usize, _: Moment, random: &mut SmallRng) -> bool {
    random.random_bool(0.02)
}

fn one_slow(server: usize, now: Moment, _: &mut SmallRng) -> bool {
    server == 0 && now >= KNOWN
}

/// All servers are slow for ten seconds.
fn all_slow(_: usize, now: Moment, _: &mut SmallRng) -> bool {
    now >= KNOWN && now < KNOWN + Duration::from_secs(10)
}

fn few_or_all_slow(server: usize, now: Moment, random: &mut SmallRng) -> bool {
    all_slow(server, now, random) || a_few_slow(server, now, random)
}

/// Checks the limit in windows of ten seconds that begin at each second.
macro_rules! limits_hold {
    ($($name:ident: $rate:literal a second, $slow:ident, share $share:literal;)+) => {$(
        #[test]
        fn $name() {
            let play = Play::run(Load { rate: $rate, slow: $slow, limit: limit($share) });
            let window = Duration::from_secs(10);
            for second in 0..40 {
                let from = Duration::from_secs(second);
                // What was kept counts for the ten seconds before.
                let requests = play.arrived(from.saturating_sub(window), from + window);
                let most = ($share * requests as f64).max(1.0) + 1.0;
                let hedges = play.hedged(from, from + window);
                assert!(hedges as f64 <= most, "{second} s: {hedges} hedges, {requests} requests");
            }
            let total = play.hedges.len() as f64;
            assert!(total <= $share * play.requests.len() as f64, "{total} hedges");
        }
    )+};
}

limits_hold! {
    a_few_slow_answers_stay_within_a_hundredth: 150 a second, a_few_slow, share 0.01;
    a_few_slow_answers_stay_within_a_tenth: 150 a second, a_few_slow, share 0.1;
    one_slow_server_stays_within_three_hundredths: 150 a second, one_slow, share 0.03;
    all_slow_servers_stay_within_a_tenth: 100 a second, few_or_all_slow, share 0.1;
    a_service_at_its_limit_stays_within_a_tenth: 350 a second, a_few_slow, share 0.1;
    a_service_of_few_requests_stays_within_a_hundredth: 4 a second, a_few_slow, share 0.01;
}

/// Load: one answer in fifty is slow at servers that are otherwise sound.
#[test]
fn a_few_slow_answers_become_quicker() {
    let load = Load {
        rate: 150,
        slow: a_few_slow,
        limit: limit(0.1),
    };
    let hedged = Play::run(load);
    let alone = Play::run(Load {
        limit: limit(0.0),
        ..load
    });
    assert!(alone.hedges.is_empty());
    let slow = Duration::from_millis(USUAL.start * SLOW_FACTOR);
    assert!(alone.quantile(0.99) >= slow, "{:?}", alone.quantile(0.99));
    // The delay of the hedged attempt and a usual answer.
    let most = Duration::from_millis(USUAL.end * 2 + 50);
    assert!(hedged.quantile(0.99) <= most, "{:?}", hedged.quantile(0.99));
    assert!(hedged.quantile(0.5) <= Duration::from_millis(USUAL.end));
}

/// Load: one of six servers is slow.
#[test]
fn requests_at_one_slow_server_are_hedged() {
    let play = Play::run(Load {
        rate: 60,
        slow: one_slow,
        limit: limit(0.1),
    });
    assert!(play.hedged(KNOWN, END) > 0);
}

/// Load: all servers are slow for ten seconds.
#[test]
fn a_service_that_is_slow_as_a_whole_is_not_hedged() {
    let play = Play::run(Load {
        rate: 40,
        slow: few_or_all_slow,
        limit: limit(0.1),
    });
    let noticed = play.hedged(KNOWN + NOTICE, KNOWN + Duration::from_secs(10));
    assert_eq!(noticed, 0);
    assert!(
        play.hedged(KNOWN + Duration::from_secs(12), END) > 0,
        "none after it"
    );
}

/// Load: more requests than the servers have slots for.
#[test]
fn nothing_is_hedged_while_requests_wait() {
    let play = Play::run(Load {
        rate: 360,
        slow: a_few_slow,
        limit: limit(0.1),
    });
    assert_eq!(play.beside_queue, 0);
}

/// Load: the first requests of a route.
#[test]
fn nothing_is_hedged_before_enough_is_known() {
    let play = Play::run(Load {
        rate: 150,
        slow: a_few_slow,
        limit: limit(0.1),
    });
    // A twentieth of a hundred answers is beyond the quantile.
    let known = play.requests[100].info.arrived;
    assert_eq!(play.hedged(Moment::ZERO, known), 0);
}

/// Load: a request whose deadline leaves no time for a second attempt.
#[test]
fn a_hedge_that_would_come_too_late_is_not_sent() {
    let mut play = Play::run(Load {
        rate: 150,
        slow: a_few_slow,
        limit: limit(0.1),
    });
    for _ in 0..100 {
        let first = play.balancer.admit(request(true, END), END);
        let key = support::assignment_of(first).key;
        play.balancer.finish(
            key,
            "orders",
            AttemptOutcome::Success(Duration::from_millis(60)),
            END,
        );
    }
    let mut info = request(true, END);
    info.deadline = END + Duration::from_millis(30);
    assert!(matches!(
        play.balancer.hedge(info.clone(), END),
        Decision::Refuse(_)
    ));
    info.deadline = END + Duration::from_secs(3);
    assert!(matches!(play.balancer.hedge(info, END), Decision::Send(_)));
}

/// Load: all homes find each of their requests slow at once, and their shares are uneven.
#[test]
fn the_limits_of_all_homes_add_up() {
    const SHARE: f64 = 0.03;
    let mut homes: Vec<Hedging> = (0..5)
        .map(|_| Hedging::new(limit(SHARE).expect("one")))
        .collect();
    let mut random = SmallRng::seed_from_u64(7);
    let mut hedges = 0;
    let requests = 20_000;
    for index in 0..requests {
        let now = Duration::from_millis(index);
        let home = random
            .random_range(0..5_usize)
            .min(random.random_range(0..5));
        homes[home].record_request(now);
        if homes[home].has_room() {
            homes[home].spend();
            hedges += 1;
        }
    }
    assert!(f64::from(hedges) <= SHARE * requests as f64, "{hedges}");
    assert!(
        f64::from(hedges) >= SHARE * requests as f64 - 5.0,
        "{hedges}"
    );
}

/// Load: a slot has become free while a request of a lower priority waits for it.
#[test]
fn a_request_that_waits_goes_before_a_hedge() {
    let now = Duration::from_secs(1);
    let mut balancer = service(2, 1);
    balancer.limit_hedges(limit(0.5));
    for _ in 0..4 {
        let assignment = support::assignment_of(balancer.admit(request(true, now), now));
        let outcome = AttemptOutcome::Success(Duration::from_millis(USUAL.start));
        balancer.finish(assignment.key, "orders", outcome, now);
    }
    let mut admit = |priority| {
        let mut info = request(true, now);
        info.priority = priority;
        balancer.admit(info, now)
    };
    let first = support::assignment_of(admit(1)).key;
    let other = support::assignment_of(admit(1)).key;
    assert!(matches!(admit(2), Decision::Wait(_)));
    balancer.finish(other, "orders", AttemptOutcome::Inconclusive, now);
    let mut hedged = request(true, now);
    hedged.tried = vec![first];
    let decision = balancer.hedge(hedged.clone(), now);
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
    let waited = balancer.release_queued(now);
    let waited = waited[0].result.clone().expect("a slot").key;
    balancer.finish(waited, "orders", AttemptOutcome::Inconclusive, now);
    assert!(matches!(balancer.hedge(hedged, now), Decision::Send(_)));
}
