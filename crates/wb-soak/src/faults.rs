//! Random faults, drawn from a seed. Several may be active at the same time.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;
use wb_stand::published::server::Behaviour;
use wb_stand::published::store::Mode;
use wb_stand::relay::Link;

use crate::testbed::Testbed;
use crate::testbed::healthy_behaviour;

/// Longest pause between two faults, in milliseconds.
const PAUSE_MAX_MS: u64 = 700;
/// Longest duration of a fault, in milliseconds.
const FAULT_MAX_MS: u64 = 4000;

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct Fault {
    /// One of the names in `FAULTS`.
    pub name: &'static str,
    /// When the fault had been injected.
    pub at: Instant,
    /// When the fault was due to end; no later than the end of all faults.
    pub until: Instant,
}

/// Action that ends a fault. Indexes are those of instances or backend servers in the testbed.
enum Repair {
    /// Continues the stopped process of an instance.
    Resume(usize),
    /// Restarts the process of an instance.
    Launch(usize),
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
    /// Nothing: the change is permanent.
    None,
}

/// Longest duration of a limit, in milliseconds. It is kept only some seconds after it was named.
const LIMIT_MAX_MS: u64 = 20_000;
/// Share of the runs without faults of instances, which excuse much of what the others show.
const SPARED_SHARE: f64 = 0.3;
/// Limits that servers name, in requests per second.
const LIMITS: [f64; 5] = [0.0, 0.4, 1.0, 3.0, 10.0];

/// Names of the faults to draw from.
const FAULTS: [&str; 17] = [
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
];

/// Faults of instances and their links.
pub const INSTANCE_FAULTS: [&str; 5] = ["kill", "stop", "terminate", "kill_many", "store_cut"];
/// Faults that stop the process of an instance for a while or for good.
pub const STOPS: [&str; 4] = ["kill", "stop", "terminate", "kill_many"];
/// Longest pause that servers ask for, in milliseconds.
const PAUSE_ASKED_MAX_MS: u64 = 3000;
/// Share of the requests that a server sheds while it asks for pauses.
const PAUSE_SHED: f64 = 0.5;

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
    let spared = rng.random_bool(SPARED_SHARE);
    let kinds: Vec<&str> = FAULTS
        .into_iter()
        .filter(|name| !spared || !INSTANCE_FAULTS.contains(name))
        .collect();
    let mut active: Vec<(Instant, Repair)> = Vec::new();
    let mut injected = Vec::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(20..PAUSE_MAX_MS));
        tokio::time::sleep(pause).await;
        repair_due(testbed, &mut active, Instant::now())?;
        let name = *kinds.choose(rng).expect("there are faults");
        testbed.back_up_store(rng);
        let longest = match name {
            "server_limits" => LIMIT_MAX_MS,
            _ => FAULT_MAX_MS,
        };
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..longest));
        let repairs = inject(testbed, name, rng).await?;
        injected.push(Fault {
            name,
            at: Instant::now(),
            until,
        });
        active.extend(repairs.into_iter().map(|repair| (until, repair)));
    }
    let last = active.iter().map(|(until, _)| *until).max();
    repair_due(testbed, &mut active, last.unwrap_or(end))?;
    let now = Instant::now();
    for fault in &mut injected {
        fault.until = fault.until.min(now);
    }
    Ok(injected)
}

/// Ends all active faults that are due by `now`.
fn repair_due(
    testbed: &mut Testbed,
    active: &mut Vec<(Instant, Repair)>,
    now: Instant,
) -> eyre::Result<()> {
    let (due, remaining) = std::mem::take(active)
        .into_iter()
        .partition(|(until, _)| *until <= now);
    *active = remaining;
    let due: Vec<(Instant, Repair)> = due;
    for (_, repair) in due {
        match repair {
            Repair::Resume(index) => testbed.signal(index, Signal::CONT),
            Repair::Launch(index) => testbed.launch(index)?,
            Repair::OpenServerLink(index) => testbed.backends[index].link.set_link(Link::Open),
            Repair::RestoreServer(index) => {
                let server = &testbed.backends[index].server;
                server.set_behaviour(healthy_behaviour());
                server.set_pause(None);
            }
            Repair::OpenStoreLink(index) => {
                testbed.instances[index].store_link.set_link(Link::Open)
            }
            Repair::RestoreStore => testbed.store.set_mode(Mode::Normal),
            Repair::Rewrite => testbed.rewrite(),
            Repair::LiftLimit(index) => testbed.set_limit(index, None),
            Repair::None => {}
        }
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
            Repair::Launch(instance)
        }
        "stop" => {
            testbed.signal(instance, Signal::STOP);
            Repair::Resume(instance)
        }
        "terminate" => {
            testbed.signal(instance, Signal::TERM);
            Repair::Launch(instance)
        }
        "kill_many" => {
            let killed: Vec<usize> = (0..testbed.instances.len())
                .filter(|_| rng.random_bool(0.5))
                .collect();
            for index in &killed {
                testbed.signal(*index, Signal::KILL);
            }
            return Ok(killed.into_iter().map(Repair::Launch).collect());
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
                .set_behaviour(partial_failure(rng));
            Repair::RestoreServer(backend)
        }
        "server_cut" => {
            testbed.backends[backend].link.set_link(link);
            Repair::OpenServerLink(backend)
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
                ..healthy_behaviour()
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

/// Whether the service of a server has at least two others that aren't leaving.
fn is_spare(testbed: &Testbed, index: usize) -> bool {
    let service = testbed.backends[index].service;
    let servers = testbed
        .backends
        .iter()
        .filter(|backend| backend.service == service);
    servers.filter(|backend| !backend.is_leaving()).count() > 2
}

/// Marks a server as leaving in its row, unless too few others are left.
fn mark_leaving(testbed: &mut Testbed, index: usize) {
    if is_spare(testbed, index) {
        testbed.write_server_row(index, "draining");
    }
}

/// Behaviour that fails a random share of the requests in a random way.
fn partial_failure(rng: &mut SmallRng) -> Behaviour {
    let share = rng.random_range(0.2..0.9);
    let mut behaviour = healthy_behaviour();
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
