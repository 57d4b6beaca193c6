//! A service of several homes that gets only requests which can't be sent again, while some servers
//! fail part of them at once, others lose answers, and paths to single homes are cut one way. Each
//! failure makes a server suspect at all homes. Sound servers must stay in use, and those that still
//! fail must not get a burst of requests when a few responses clear them.

mod support;

use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::at;
use support::fleet::DOMAINS;
use support::fleet::Fleet;
use support::listed;
use support::request;
use wb_balance::AttemptOutcome;
use wb_balance::Evidence;
use wb_balance::ListedServer;

const HOMES: usize = 6;
const SLOTS: u32 = 4;
const WORK_MS: f64 = 270.0;
/// Growth of the duration from a half-full server to a full one.
const CONGESTION: f64 = 1.2;
/// Time after which a request counts as overdue.
const OVERDUE_MS: u64 = 810;
const DEADLINE_MS: u64 = 6_000;
/// Time after which a failing server cuts the connection of a request.
const CUT_MS: u64 = 3;
const RUN_MS: u64 = 26_000;
/// Window in which the users look at the servers in use.
const WINDOW_MS: u64 = 2_000;
/// Time without a fault after which a server counts as sound.
const SOUND_AFTER_MS: u64 = 6_000;
/// Share of the sound servers that must get requests in each window.
const FLOOR: f64 = 0.7;
/// Shares of unserved requests between which the floor counts.
const UNSERVED: Range<f64> = 0.1..0.5;

/// A time in which some servers lose answers.
struct Fault {
    time: Range<u64>,
    /// Share of the servers.
    share: f64,
    /// Share of their answers that are lost.
    lost: f64,
    kind: Kind,
}

/// How a request fails.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// Its connection is cut before the work.
    AtOnce,
    /// Its connection is cut after the work.
    AfterWork,
    /// The path to one home is cut, which waits for the answer until the deadline.
    OneWay,
}

/// A service and its faults.
struct Load {
    servers: usize,
    per_second: f64,
    faults: Vec<Fault>,
}

/// One request of the run.
struct Sent {
    at: u64,
    server: usize,
    served: bool,
}

/// Servers of a fault, with the home that each has lost the path to.
type Struck = HashMap<usize, usize>;

fn strike(load: &Load, rng: &mut SmallRng) -> Vec<Struck> {
    let mut struck = |fault: &Fault| -> Struck {
        let servers = 0..load.servers;
        let servers = servers.filter_map(|server| {
            let home = rng.random_range(0..HOMES);
            rng.random_bool(fault.share).then_some((server, home))
        });
        servers.collect()
    };
    load.faults.iter().map(&mut struck).collect()
}

/// Time until the answer to a request is lost; `None` if it comes.
fn loses(
    load: &Load,
    struck: &[Struck],
    (server, home): (usize, usize),
    (now, took): (u64, u64),
    rng: &mut SmallRng,
) -> Option<u64> {
    let faults = load.faults.iter().zip(struck);
    let mut hit = faults.filter_map(|(fault, struck)| {
        let (at, until) = match fault.kind {
            Kind::AtOnce => (now, CUT_MS),
            Kind::AfterWork => (now + took, took),
            Kind::OneWay => (now + took, DEADLINE_MS),
        };
        let cut = struck.get(&server)?;
        let reaches = fault.kind == Kind::OneWay && *cut != home;
        let hits = fault.time.contains(&at) && !reaches && rng.random_bool(fault.lost);
        hits.then_some(until)
    });
    hit.next()
}

/// Mean duration of a request at a server with so many: those that have no slot wait for one.
fn duration_ms(running: u32) -> f64 {
    let utilization = f64::from(running) / f64::from(SLOTS);
    let congestion = (utilization.min(1.0) - 0.5).max(0.0) / 0.5 * CONGESTION;
    WORK_MS * (1.0 + congestion) * utilization.max(1.0)
}

fn simulate(load: &Load, struck: &[Struck], seed: u64) -> Vec<Sent> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let named = (0..load.servers).map(|it| listed(&format!("s{it}"), DOMAINS[it % 3], SLOTS));
    let list: Vec<ListedServer> = named.collect();
    let mut fleet = Fleet::new(HOMES, &list);
    let mut sent: Vec<Sent> = Vec::new();
    let mut homes = Vec::new();
    let mut running = vec![0; load.servers];
    let mut ends: HashMap<u64, Vec<(usize, AttemptOutcome)>> = HashMap::new();
    let mut overdue: HashMap<u64, Vec<usize>> = HashMap::new();
    for now in 0..RUN_MS {
        for (index, outcome) in ends.remove(&now).unwrap_or_default() {
            let late = now - sent[index].at > OVERDUE_MS;
            sent[index].served = matches!(outcome, AttemptOutcome::Success(_));
            let outcome = match outcome {
                AttemptOutcome::Success(took) if late => AttemptOutcome::Late(took),
                other => other,
            };
            running[sent[index].server] -= 1;
            fleet.finish(index, outcome, at(now));
        }
        for index in overdue.remove(&now).unwrap_or_default() {
            fleet.overdue(index, at(now));
        }
        for home in 0..HOMES {
            if !rng.random_bool(load.per_second / HOMES as f64 / 1000.0) {
                continue;
            }
            let mut order = request(false, at(now));
            order.deadline = at(now + DEADLINE_MS);
            fleet.admit(sent.len(), home, order, at(now));
            homes.push(home);
            sent.push(Sent {
                at: now,
                server: usize::MAX,
                served: false,
            });
        }
        for (index, name) in fleet.step(now) {
            let server = name[1..].parse().expect("a number");
            sent[index].server = server;
            running[server] += 1;
            let took = (duration_ms(running[server]) * rng.random_range(0.5..1.5)) as u64;
            let place = (server, homes[index]);
            let lost = loses(load, struck, place, (now, took), &mut rng);
            let outcome = match lost {
                None => AttemptOutcome::Success(Duration::from_millis(took)),
                Some(DEADLINE_MS) => AttemptOutcome::Timeout,
                Some(_) => AttemptOutcome::Failure(Evidence::Cut),
            };
            let end = ends.entry(now + lost.unwrap_or(took)).or_default();
            end.push((index, outcome));
            overdue.entry(now + OVERDUE_MS).or_default().push(index);
        }
    }
    sent
}

/// Windows in which too few of the sound servers get requests while requests go unserved.
fn windows_under_floor(load: &Load, struck: &[Struck], sent: &[Sent]) -> Vec<String> {
    let mut found = Vec::new();
    let last = RUN_MS - WINDOW_MS - DEADLINE_MS;
    for start in (SOUND_AFTER_MS..last).step_by(250) {
        let window = start..start + WINDOW_MS;
        let within = sent.iter().filter(|one| window.contains(&one.at));
        let within: Vec<&Sent> = within.collect();
        let harmed = |server: &usize| {
            let mut faults = load.faults.iter().zip(struck);
            faults.any(|(fault, struck)| {
                let time = &fault.time;
                let near = time.start < window.end && start < time.end + SOUND_AFTER_MS;
                near && struck.contains_key(server)
            })
        };
        let sound: HashSet<usize> = (0..load.servers).filter(|it| !harmed(it)).collect();
        let used = within.iter().map(|one| one.server);
        let used: HashSet<usize> = used.filter(|server| sound.contains(server)).collect();
        let unserved = within.iter().filter(|one| !one.served).count();
        let share = unserved as f64 / within.len() as f64;
        if UNSERVED.contains(&share) && (used.len() as f64) < FLOOR * sound.len() as f64 {
            found.push(format!(
                "{start} ms: {} of {} sound servers, {unserved} of {} unserved",
                used.len(),
                sound.len(),
                within.len()
            ));
        }
    }
    found
}

macro_rules! keeps_sound_servers_in_use {
    ($($name:ident: $load:expr;)+) => {
        $(#[test]
        fn $name() {
            let load = $load;
            for seed in 0..2 {
                let struck = strike(&load, &mut SmallRng::seed_from_u64(seed));
                let sent = simulate(&load, &struck, seed);
                let found = windows_under_floor(&load, &struck, &sent);
                let lost = sent.iter().filter(|one| !one.served && one.at < RUN_MS - DEADLINE_MS);
                println!("seed {seed}: {} of {} unserved", lost.count(), sent.len());
                assert!(found.is_empty(), "seed {seed}: {found:?}");
            }
        })+
    };
}

/// These faults, and at any time servers that fail most requests for five seconds: a third of all.
fn with_failing(others: Vec<Fault>) -> Vec<Fault> {
    let failing = (0..RUN_MS).step_by(5_000).map(|start| Fault {
        time: start..start + 5_000,
        share: 0.3,
        lost: 0.6,
        kind: Kind::AtOnce,
    });
    failing.chain(others).collect()
}

keeps_sound_servers_in_use! {
    failing_servers_and_lost_answers: Load {
        servers: 220, per_second: 950.0,
        faults: with_failing(vec![
            Fault { time: 500..4_500, share: 0.5, lost: 0.06, kind: Kind::AfterWork },
            Fault { time: 10_000..18_000, share: 0.43, lost: 1.0, kind: Kind::OneWay },
            Fault { time: 13_000..17_000, share: 0.6, lost: 0.4, kind: Kind::AfterWork },
        ]),
    };
    failing_servers_at_a_busy_service: Load {
        servers: 70, per_second: 300.0,
        faults: with_failing(vec![
            Fault { time: 13_000..17_000, share: 0.6, lost: 0.4, kind: Kind::AfterWork },
        ]),
    };
    paths_cut_one_way: Load {
        servers: 220, per_second: 950.0,
        faults: with_failing(vec![
            Fault { time: 8_000..16_000, share: 0.8, lost: 1.0, kind: Kind::OneWay },
        ]),
    };
}
