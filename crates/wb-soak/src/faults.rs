//! Random faults, drawn from a seed. Several may be active at the same time.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;
use wb_stand::published::server::Behaviour;
use wb_stand::published::server::CrashRule;
use wb_stand::published::store::Mode;
use wb_stand::relay::Link;

use crate::testbed::Options;
use crate::testbed::Testbed;

/// Longest pause between two faults, in milliseconds.
const PAUSE_MAX_MS: u64 = 700;
/// Longest duration of a fault, in milliseconds.
const FAULT_MAX_MS: u64 = 4000;
/// Interval at which the end of terminated processes is checked.
const EXIT_INTERVAL: Duration = Duration::from_millis(50);

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct Fault {
    /// One of the names in `FAULTS` or `PLANNED`.
    pub name: &'static str,
    /// When the fault began.
    pub at: Instant,
    /// When the fault was over.
    pub until: Instant,
    /// Indexes of the instances that it concerns.
    pub instances: Vec<usize>,
    /// Indexes of the backend servers that it concerns.
    pub servers: Vec<usize>,
}

/// A fault that is to be ended.
struct Active {
    /// Index of the fault among those that were injected.
    fault: usize,
    /// When it is due to end.
    due: Instant,
    repair: Repair,
}

/// Action that ends a fault. Indexes are those of instances or backend servers in the testbed.
enum Repair {
    /// Continues the stopped process of an instance.
    Resume(usize),
    /// Restarts an instance once its process with this id has exited.
    Launch(usize, Option<u32>),
    /// Reopens the link to a backend server.
    OpenServerLink(usize),
    /// Makes a backend server healthy again.
    RestoreServer(usize),
    /// Reopens the link from an instance to the store.
    OpenStoreLink(usize),
    /// Makes the store answer normally again.
    RestoreStore,
    /// Writes the configuration and the servers' rows again.
    Rewrite,
    /// Ends the limit of a backend server.
    LiftLimit(usize),
    /// Reopens the path from an instance to all servers.
    OpenPath(usize),
    /// Nothing: the change is permanent.
    None,
}

impl Repair {
    /// The instance that the fault concerns.
    fn instance(&self) -> Option<usize> {
        match self {
            Self::Resume(index)
            | Self::Launch(index, _)
            | Self::OpenStoreLink(index)
            | Self::OpenPath(index) => Some(*index),
            _ => None,
        }
    }

    /// The backend server that the fault concerns.
    fn server(&self) -> Option<usize> {
        match self {
            Self::OpenServerLink(index) | Self::RestoreServer(index) | Self::LiftLimit(index) => {
                Some(*index)
            }
            _ => None,
        }
    }

    /// Whether the fault can be ended now.
    fn is_possible(&self, testbed: &mut Testbed) -> eyre::Result<bool> {
        match self {
            Self::Launch(index, ended) => {
                Ok(testbed.process(*index) != *ended || !testbed.is_running(*index)?)
            }
            _ => Ok(true),
        }
    }
}

/// Longest duration of a limit, in milliseconds. It is kept only some seconds after it was named.
const LIMIT_MAX_MS: u64 = 20_000;
/// Duration of a cut of instances from all servers, in milliseconds: longer than they have to notice it.
const PATH_CUT_MS: Range<u64> = 5000..9000;
/// Share of the instances that are cut off.
const PATH_CUT_SHARE: f64 = 0.4;
/// Path of the requests that make servers end.
const CRASHING_PATH: &str = "/lookup/crashing";
/// Longest time until a server that has ended is back, in milliseconds.
const DOWNTIME_MAX_MS: u64 = 2500;
/// Share of the runs without faults of instances, which excuse much of what the others show.
const SPARED_SHARE: f64 = 0.3;
/// Limits that servers name, in requests per second.
const LIMITS: [f64; 5] = [0.0, 0.4, 1.0, 3.0, 10.0];

/// Share of these in which instances are cut off from the servers all the same.
const CUT_RUN_SHARE: f64 = 0.5;

/// Names of the faults to draw from.
const FAULTS: [&str; 19] = [
    "kill",
    "stop",
    "terminate",
    "kill_many",
    "store_unavailable",
    "store_hangs",
    "store_loses_responses",
    "store_cut",
    "server_fails_partially",
    "server_cut",
    "server_leaves",
    "server_joins",
    "configure",
    "store_restored",
    "server_limits",
    "server_says_leaving",
    "server_pauses",
    "request_crashes",
    "path_cut",
];

/// Names of planned work, which is drawn alone in runs without faults.
pub const PLANNED: [&str; 8] = [
    "terminate",
    "reload",
    "configure",
    "server_joins",
    "server_leaves",
    "server_limits",
    "server_says_leaving",
    "server_pauses",
];

/// Faults of instances and their links.
pub const INSTANCE_FAULTS: [&str; 6] = [
    "kill",
    "stop",
    "terminate",
    "kill_many",
    "store_cut",
    "path_cut",
];
/// Faults that stop the process of an instance for a while or for good.
pub const STOPS: [&str; 4] = ["kill", "stop", "terminate", "kill_many"];
/// Longest pause that servers ask for, in milliseconds.
const PAUSE_ASKED_MAX_MS: u64 = 3000;
/// Share of the requests that a server sheds while it asks for pauses.
const PAUSE_SHED: f64 = 0.5;

/// Names of the faults of a run.
fn draw_kinds(planned: bool, rng: &mut SmallRng) -> Vec<&'static str> {
    if planned {
        return PLANNED.to_vec();
    }
    let spared = rng.random_bool(SPARED_SHARE);
    let cuts = rng.random_bool(CUT_RUN_SHARE);
    let kinds = FAULTS.into_iter();
    kinds
        .filter(|name| !spared || !INSTANCE_FAULTS.contains(name) || (cuts && *name == "path_cut"))
        .collect()
}

/// Injects random faults for `duration`, then ends them all and returns them.
///
/// # Errors
///
/// When a process can't be restarted or a new backend server can't be started.
pub async fn inject_all(
    testbed: &mut Testbed,
    duration: Duration,
    rng: &mut SmallRng,
) -> eyre::Result<Vec<Fault>> {
    let end = Instant::now() + duration;
    let kinds = draw_kinds(testbed.options.planned, rng);
    let mut active: Vec<Active> = Vec::new();
    let mut injected = Vec::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(20..PAUSE_MAX_MS));
        tokio::time::sleep(pause).await;
        repair_due(testbed, &mut active, &mut injected, Instant::now())?;
        let name = *kinds.choose(rng).expect("there are faults");
        testbed.back_up_store(rng);
        let duration_ms = match name {
            "server_limits" => 200..LIMIT_MAX_MS,
            "path_cut" => PATH_CUT_MS,
            _ => 200..FAULT_MAX_MS,
        };
        let due = Instant::now() + Duration::from_millis(rng.random_range(duration_ms));
        let at = Instant::now();
        let repairs = inject(testbed, name, rng).await?;
        injected.push(Fault {
            name,
            at,
            until: at,
            instances: repairs.iter().filter_map(Repair::instance).collect(),
            servers: repairs.iter().filter_map(Repair::server).collect(),
        });
        let fault = injected.len() - 1;
        active.extend(
            repairs
                .into_iter()
                .map(|repair| Active { fault, due, repair }),
        );
    }
    let last = active.iter().map(|one| one.due).max().unwrap_or(end);
    while !active.is_empty() {
        repair_due(testbed, &mut active, &mut injected, last)?;
        tokio::time::sleep(EXIT_INTERVAL).await;
    }
    Ok(injected)
}

/// Ends all active faults that are due by `now`, as far as that is possible.
fn repair_due(
    testbed: &mut Testbed,
    active: &mut Vec<Active>,
    injected: &mut [Fault],
    now: Instant,
) -> eyre::Result<()> {
    for one in std::mem::take(active) {
        if one.due > now || !one.repair.is_possible(testbed)? {
            active.push(one);
            continue;
        }
        repair(testbed, one.repair)?;
        injected[one.fault].until = Instant::now();
    }
    Ok(())
}

/// Ends one fault.
fn repair(testbed: &mut Testbed, repair: Repair) -> eyre::Result<()> {
    match repair {
        Repair::Resume(index) => testbed.signal(index, Signal::CONT),
        Repair::Launch(index, _) => testbed.launch(index)?,
        Repair::OpenServerLink(index) => testbed.backends[index].link.set_link(Link::Open),
        Repair::RestoreServer(index) => {
            let server = &testbed.backends[index].server;
            server.set_behaviour(testbed.options.healthy_behaviour());
            server.set_pause(None);
        }
        Repair::OpenStoreLink(index) => testbed.instances[index].store_link.set_link(Link::Open),
        Repair::RestoreStore => testbed.store.set_mode(Mode::Normal),
        Repair::Rewrite => testbed.rewrite(),
        Repair::LiftLimit(index) => testbed.set_limit(index, None),
        Repair::OpenPath(index) => testbed.set_path_cut(index, false),
        Repair::None => {}
    }
    Ok(())
}

/// Injects one fault and returns what ends it.
async fn inject(
    testbed: &mut Testbed,
    name: &str,
    rng: &mut SmallRng,
) -> eyre::Result<Vec<Repair>> {
    let instance = rng.random_range(0..testbed.instances.len());
    let backend = rng.random_range(0..testbed.backends.len());
    let links = [Link::Cut, Link::MuteOut, Link::MuteBack, Link::Silent];
    let link = *links.choose(rng).expect("there are links");
    Ok(vec![match name {
        "kill" => {
            testbed.signal(instance, Signal::KILL);
            Repair::Launch(instance, testbed.process(instance))
        }
        "stop" => {
            testbed.signal(instance, Signal::STOP);
            Repair::Resume(instance)
        }
        "terminate" => {
            testbed.signal(instance, Signal::TERM);
            Repair::Launch(instance, testbed.process(instance))
        }
        "reload" => {
            // Before a program has installed its handlers, the signal ends its process.
            if testbed.instances[instance].listens().await {
                testbed.signal(instance, Signal::HUP);
            }
            Repair::None
        }
        "kill_many" => {
            let killed: Vec<usize> = (0..testbed.instances.len())
                .filter(|_| rng.random_bool(0.5))
                .collect();
            for index in &killed {
                testbed.signal(*index, Signal::KILL);
            }
            let launch = |index| Repair::Launch(index, testbed.process(index));
            return Ok(killed.into_iter().map(launch).collect());
        }
        "store_unavailable" => set_store_mode(testbed, Mode::Unavailable),
        "store_hangs" => set_store_mode(testbed, Mode::Hang),
        "store_loses_responses" => set_store_mode(testbed, Mode::LoseResponse),
        "store_cut" => {
            testbed.instances[instance].store_link.set_link(link);
            Repair::OpenStoreLink(instance)
        }
        "server_fails_partially" => {
            testbed.backends[backend]
                .server
                .set_behaviour(partial_failure(&testbed.options, rng));
            Repair::RestoreServer(backend)
        }
        "server_cut" => {
            testbed.backends[backend].link.set_link(link);
            Repair::OpenServerLink(backend)
        }
        "request_crashes" => {
            let downtime = Duration::from_millis(rng.random_range(300..DOWNTIME_MAX_MS));
            if testbed.crash_rule.is_none() {
                testbed.set_crash_rule(CrashRule {
                    path: CRASHING_PATH.to_owned(),
                    downtime,
                });
            }
            Repair::None
        }
        "path_cut" => {
            let cut_off: Vec<usize> = (0..testbed.instances.len())
                .filter(|_| rng.random_bool(PATH_CUT_SHARE))
                .collect();
            for index in &cut_off {
                testbed.set_path_cut(*index, true);
            }
            return Ok(cut_off.into_iter().map(Repair::OpenPath).collect());
        }
        "server_leaves" => {
            mark_leaving(testbed, backend);
            Repair::None
        }
        "server_joins" => {
            let service = *["registry", "patterns"]
                .choose(rng)
                .expect("there are services");
            testbed.add_backend(service).await?;
            Repair::None
        }
        "store_restored" => {
            testbed.restore_store();
            Repair::Rewrite
        }
        "server_limits" => {
            let limit = *LIMITS.choose(rng).expect("there are limits");
            testbed.set_limit(backend, Some(limit));
            Repair::LiftLimit(backend)
        }
        "server_says_leaving" => {
            if is_spare(testbed, backend) {
                testbed.backends[backend].server.set_leaving();
            }
            Repair::None
        }
        "server_pauses" => {
            let pause = Duration::from_millis(rng.random_range(0..PAUSE_ASKED_MAX_MS));
            let server = &testbed.backends[backend].server;
            server.set_pause(Some(pause));
            server.set_behaviour(Behaviour {
                shed: PAUSE_SHED,
                ..testbed.options.healthy_behaviour()
            });
            Repair::RestoreServer(backend)
        }
        _ => {
            testbed.write_config();
            Repair::None
        }
    }])
}

fn set_store_mode(testbed: &Testbed, mode: Mode) -> Repair {
    testbed.store.set_mode(mode);
    Repair::RestoreStore
}

/// Whether the service of a server has enough others that aren't leaving.
fn is_spare(testbed: &Testbed, index: usize) -> bool {
    let service = testbed.backends[index].service;
    let servers = testbed
        .backends
        .iter()
        .filter(|backend| backend.service == service);
    let staying = servers.filter(|backend| !backend.is_leaving()).count();
    staying > testbed.options.least_servers()
}

/// Marks a server as leaving in its row, unless too few others are left.
fn mark_leaving(testbed: &mut Testbed, index: usize) {
    if is_spare(testbed, index) {
        testbed.write_server_row(index, "draining");
    }
}

/// Behaviour that fails a random share of the requests in a random way.
fn partial_failure(options: &Options, rng: &mut SmallRng) -> Behaviour {
    let share = rng.random_range(0.2..0.9);
    let mut behaviour = options.healthy_behaviour();
    match rng.random_range(0..7) {
        0 => behaviour.reset = share,
        1 => behaviour.lose_response = share,
        2 => behaviour.fail = share,
        3 => behaviour.hang = share,
        4 => behaviour.shed = share,
        5 => behaviour.truncate = share,
        _ => behaviour.mismatch = share,
    }
    behaviour
}
