//! How many servers a request costs that crashes them, and how often others are held in its place: a
//! service, callers and instances that lose datagrams, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use wb_quarantine::Quarantine;
use wb_quarantine::Report;
use wb_types::id::Moment;
use wb_types::id::RequestKey;

/// Instances that take callers.
const INSTANCES: usize = 3;
/// Time that a request takes.
const RUN: Duration = Duration::from_millis(60);
/// Time until a server that has ended is back.
const DOWNTIME: Duration = Duration::from_millis(2500);
/// Time until an instance has noticed that a server has ended.
const NOTICE: Duration = Duration::from_millis(8);
/// Time that a datagram takes.
const DATAGRAM: Duration = Duration::from_millis(2);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.05;
/// Interval of the repeated reports.
const REPEAT: Duration = Duration::from_secs(1);
/// Time in which the fleet must know a request after its third crash.
const WINDOW: Duration = Duration::from_secs(3);
/// Times that it may be sent after that.
const SENDS_MAX: usize = 3;
/// Crashes from which a request is sent to no second server in one attempt of its caller.
const NO_RETRY_CRASHES: usize = 2;
/// Key of the first request that crashes servers.
const GUILTY: RequestKey = 1_000_000;
/// Time for which there are no other requests and no ends of servers.
const WARMUP: Duration = Duration::from_secs(5);
/// Share of the innocent requests that ask for one of a few popular things.
const POPULAR_SHARE: f64 = 0.5;

/// What is played.
#[derive(Clone, Copy)]
struct Load {
    servers: usize,
    /// Requests that crash servers, and how often each comes.
    guilty: usize,
    guilty_per_second: f64,
    /// Innocent requests a second.
    innocent_per_second: f64,
    /// Servers that end by themselves, a second.
    ends_per_second: f64,
    /// Interval at which all servers fall together.
    falls_every: Option<Duration>,
}

const CALM: Load = Load {
    servers: 6,
    guilty: 0,
    guilty_per_second: 0.0,
    innocent_per_second: 60.0,
    ends_per_second: 0.0,
    falls_every: None,
};

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(RequestKey),
    Finish(usize),
    Notice(usize),
    Deliver(usize, usize),
    End(usize),
    Fall,
    Repeat,
}

#[derive(Clone, Debug)]
struct Run {
    key: RequestKey,
    instance: usize,
    server: usize,
    started: u64,
    began: Moment,
    retried: bool,
}

struct Fleet {
    load: Load,
    rng: SmallRng,
    now: Moment,
    steps: BinaryHeap<Reverse<(Moment, u64, Step)>>,
    serial: u64,
    instances: Vec<Quarantine>,
    /// Start of each server's process, and when it is back if it has ended.
    servers: Vec<(u64, Moment)>,
    runs: Vec<Option<Run>>,
    datagrams: Vec<Report>,
    /// Times at which each request crashed a server, and was sent.
    crashes: HashMap<RequestKey, Vec<Moment>>,
    sends: HashMap<RequestKey, Vec<Moment>>,
    innocent_sent: usize,
    innocent_held: usize,
}

impl Fleet {
    fn play(load: Load, seed: u64, duration: Duration) -> Self {
        let mut fleet = Self {
            load,
            rng: SmallRng::seed_from_u64(seed),
            now: Moment::ZERO,
            steps: BinaryHeap::new(),
            serial: 0,
            instances: vec![Quarantine::default(); INSTANCES],
            servers: vec![(0, Moment::ZERO); load.servers],
            runs: Vec::new(),
            datagrams: Vec::new(),
            crashes: HashMap::new(),
            sends: HashMap::new(),
            innocent_sent: 0,
            innocent_held: 0,
        };
        fleet.schedule_load(duration);
        while let Some(Reverse((at, _, step))) = fleet.steps.pop() {
            fleet.now = at;
            fleet.step(step);
        }
        fleet
    }

    fn schedule(&mut self, at: Moment, step: Step) {
        self.serial += 1;
        self.steps.push(Reverse((at, self.serial, step)));
    }

    /// Schedules a step at random times from a start on, so often a second.
    fn schedule_rate(
        &mut self,
        rate: f64,
        start: Moment,
        duration: Duration,
        step: impl Fn(&mut SmallRng) -> Step,
    ) {
        if rate == 0.0 {
            return;
        }
        let mut at = start.as_secs_f64();
        loop {
            at -= self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            if at > duration.as_secs_f64() {
                return;
            }
            let step = step(&mut self.rng);
            self.schedule(Duration::from_secs_f64(at), step);
        }
    }

    fn schedule_load(&mut self, duration: Duration) {
        let load = self.load;
        self.schedule_rate(load.innocent_per_second, Moment::ZERO, duration, |rng| {
            let popular = rng.random_bool(POPULAR_SHARE);
            let keys = if popular { 5 } else { 900_000 };
            Step::Arrive(rng.random_range(0..keys))
        });
        for index in 0..load.guilty {
            let key = GUILTY + index as RequestKey;
            self.schedule_rate(load.guilty_per_second, WARMUP, duration, |_| {
                Step::Arrive(key)
            });
        }
        self.schedule_rate(load.ends_per_second, WARMUP, duration, |rng| {
            Step::End(rng.random_range(0..load.servers))
        });
        if let Some(interval) = load.falls_every {
            for index in 1..(duration.as_millis() / interval.as_millis()) as u32 {
                self.schedule(interval * index, Step::Fall);
            }
        }
        for index in 1..duration.as_secs() as u32 {
            self.schedule(REPEAT * index, Step::Repeat);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(key) => {
                let instance = self.rng.random_range(0..INSTANCES);
                let held = self.instances[instance].standing(key, self.now).is_held();
                if key < GUILTY {
                    self.innocent_sent += 1;
                    self.innocent_held += usize::from(held);
                }
                if !held {
                    self.send(key, instance, false);
                }
            }
            Step::Finish(run) => self.finish(run),
            Step::Notice(run) => self.notice(run),
            Step::Deliver(to, datagram) => {
                let report = self.datagrams[datagram].clone();
                self.instances[to].merge(&report, self.now);
            }
            Step::End(server) => self.end(server),
            Step::Fall => (0..self.load.servers).for_each(|server| self.end(server)),
            Step::Repeat => {
                for instance in 0..INSTANCES {
                    for report in self.instances[instance].reports(None, 16, self.now) {
                        self.tell(instance, report);
                    }
                }
            }
        }
    }

    fn send(&mut self, key: RequestKey, instance: usize, retried: bool) {
        let up = (0..self.load.servers).filter(|server| self.servers[*server].1 <= self.now);
        let Some(server) = up.choose(&mut self.rng) else {
            return;
        };
        self.sends.entry(key).or_default().push(self.now);
        self.runs.push(Some(Run {
            key,
            instance,
            server,
            started: self.servers[server].0,
            began: self.now,
            retried,
        }));
        self.schedule(self.now + RUN, Step::Finish(self.runs.len() - 1));
    }

    fn finish(&mut self, index: usize) {
        let Some(run) = self.runs[index].clone() else {
            return;
        };
        if self.servers[run.server].0 != run.started || self.servers[run.server].1 > self.now {
            return;
        }
        if run.key >= GUILTY {
            self.crashes.entry(run.key).or_default().push(self.now);
            self.end(run.server);
            return;
        }
        self.runs[index] = None;
        let quarantine = &mut self.instances[run.instance];
        if quarantine.record_answer(run.key, self.now).is_some()
            && let Some(report) = quarantine.report(run.key, self.now)
        {
            self.tell(run.instance, report);
        }
    }

    /// Ends a server, with all that it runs.
    fn end(&mut self, server: usize) {
        let (started, back) = self.servers[server];
        if back > self.now {
            return;
        }
        let running = self.runs.iter().enumerate();
        let cut: Vec<usize> = running
            .filter_map(|(index, run)| Some((index, run.as_ref()?)))
            .filter(|(_, run)| run.server == server && run.started == started)
            .map(|(index, _)| index)
            .collect();
        for run in cut {
            self.schedule(self.now + NOTICE, Step::Notice(run));
        }
        self.servers[server] = (started + 1, self.now + DOWNTIME);
    }

    fn notice(&mut self, index: usize) {
        let Some(run) = self.runs[index].take() else {
            return;
        };
        let server = format!("server-{}", run.server).into();
        let quarantine = &mut self.instances[run.instance];
        quarantine.record_crash(run.key, &server, run.started, run.began, self.now);
        let standing = quarantine.standing(run.key, self.now);
        if let Some(report) = quarantine.report(run.key, self.now) {
            self.tell(run.instance, report);
        }
        if !run.retried && !standing.is_held() && standing.crashes() < NO_RETRY_CRASHES {
            self.send(run.key, run.instance, true);
        }
    }

    fn tell(&mut self, from: usize, report: Report) {
        self.datagrams.push(report);
        let datagram = self.datagrams.len() - 1;
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if !self.rng.random_bool(LOSS) {
                self.schedule(self.now + DATAGRAM, Step::Deliver(to, datagram));
            }
        }
    }

    /// Most sends of a request later than `WINDOW` after its third crash.
    fn late_sends(&self) -> usize {
        let late = self.crashes.iter().filter_map(|(key, crashes)| {
            let known = *crashes.get(2)? + WINDOW;
            Some(self.sends[key].iter().filter(|at| **at > known).count())
        });
        late.max().unwrap_or(0)
    }

    /// Servers that each guilty request has crashed, on average.
    fn cost(&self) -> f64 {
        let crashes: usize = self.crashes.values().map(Vec::len).sum();
        crashes as f64 / self.load.guilty.max(1) as f64
    }
}

/// Share of the innocent requests that may be held, at most.
const HELD_MAX: f64 = 0.001;
/// Servers that a request may cost: three, and those that it is sent to before it is known.
const COST_MAX: f64 = 8.0;

macro_rules! plays {
    ($($name:ident: $load:expr;)+) => {$(
        #[test]
        fn $name() {
            let load = $load;
            let mut sent = 0;
            let mut held = 0;
            let mut cost = 0.0;
            let seeds = 20;
            for seed in 0..seeds {
                let fleet = Fleet::play(load, seed, Duration::from_secs(60));
                assert!(fleet.late_sends() <= SENDS_MAX, "seed {seed}: {} sends", fleet.late_sends());
                sent += fleet.innocent_sent;
                held += fleet.innocent_held;
                cost += fleet.cost() / seeds as f64;
            }
            println!("{}: {held} of {sent} held, {cost:.1} servers", stringify!($name));
            assert!(held as f64 <= sent as f64 * HELD_MAX, "{held} of {sent} innocent requests held");
            assert!(cost <= COST_MAX, "{cost} servers");
        }
    )+};
}

plays! {
    servers_that_end_by_themselves_hold_requests: Load { ends_per_second: 1.0, ..CALM };
    servers_that_flap_hold_requests: Load { ends_per_second: 4.0, ..CALM };
    services_that_fall_hold_requests: Load { falls_every: Some(Duration::from_secs(5)), ..CALM };
    busy_services_that_fall_hold_requests: Load { servers: 21, innocent_per_second: 400.0, falls_every: Some(Duration::from_secs(5)), ..CALM };
    busy_servers_that_end_hold_requests: Load { servers: 21, innocent_per_second: 400.0, ends_per_second: 3.0, ..CALM };
    rare_request: Load { guilty: 1, guilty_per_second: 0.2, ..CALM };
    request_at_a_few_servers: Load { guilty: 1, guilty_per_second: 5.0, ..CALM };
    frequent_request_at_a_few_servers: Load { guilty: 1, guilty_per_second: 30.0, ..CALM };
    request_at_many_servers: Load { servers: 21, guilty: 1, guilty_per_second: 5.0, innocent_per_second: 200.0, ..CALM };
    frequent_request_at_many_servers: Load { servers: 21, guilty: 1, guilty_per_second: 50.0, innocent_per_second: 200.0, ..CALM };
    five_requests_at_a_few_servers: Load { guilty: 5, guilty_per_second: 2.0, ..CALM };
    five_requests_at_many_servers: Load { servers: 21, guilty: 5, guilty_per_second: 5.0, innocent_per_second: 200.0, ..CALM };
    request_while_servers_end_by_themselves: Load { guilty: 1, guilty_per_second: 2.0, ends_per_second: 1.0, ..CALM };
}
