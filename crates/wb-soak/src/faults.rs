//! What is done to the fleet, drawn from a seed. Faults come in series and overlap.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;
use wb_stand::published::server::Behaviour;
use wb_stand::published::store::Mode;
use wb_stand::relay::Link;

use crate::world::World;
use crate::world::sound;

/// Longest pause between two faults, in milliseconds.
const PAUSE_MS: u64 = 700;
/// Longest time that a fault lasts, in milliseconds.
const LAST_MS: u64 = 4000;

/// A fault that was played.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What it was.
    pub name: &'static str,
    /// When it began.
    pub at: Instant,
    /// When it ended.
    pub until: Instant,
}

/// What ends a fault.
enum Cure {
    Resume(usize),
    Launch(usize),
    Heal(usize),
    Sound(usize),
    Reach(usize),
    Store,
    None,
}

/// Names of the faults.
const FAULTS: [&str; 13] = [
    "kill",
    "stop",
    "terminate",
    "kill_many",
    "store_busy",
    "store_silent",
    "store_lost",
    "store_cut",
    "server_gray",
    "server_cut",
    "server_leaves",
    "server_joins",
    "configure",
];

/// Plays faults for some time, then ends them all.
///
/// # Errors
///
/// When a process can't be started again.
pub async fn play(
    world: &mut World,
    time: Duration,
    rng: &mut SmallRng,
) -> eyre::Result<Vec<Fault>> {
    let end = Instant::now() + time;
    let mut open: Vec<(Instant, Cure)> = Vec::new();
    let mut played = Vec::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(20..PAUSE_MS));
        tokio::time::sleep(pause).await;
        cure(world, &mut open, Instant::now())?;
        let name = FAULTS.choose(rng).expect("there are faults");
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..LAST_MS));
        let cures = begin(world, name, rng).await?;
        played.push(Fault {
            name,
            at: Instant::now(),
            until,
        });
        open.extend(cures.into_iter().map(|cure| (until, cure)));
    }
    let last = open.iter().map(|(until, _)| *until).max();
    cure(world, &mut open, last.unwrap_or(end))?;
    let now = Instant::now();
    for fault in &mut played {
        fault.until = fault.until.min(now);
    }
    Ok(played)
}

fn cure(world: &mut World, open: &mut Vec<(Instant, Cure)>, now: Instant) -> eyre::Result<()> {
    let (over, left) = std::mem::take(open)
        .into_iter()
        .partition(|(until, _)| *until <= now);
    *open = left;
    let over: Vec<(Instant, Cure)> = over;
    for (_, cure) in over {
        match cure {
            Cure::Resume(index) => world.signal(index, Signal::CONT),
            Cure::Launch(index) => world.launch(index)?,
            Cure::Heal(index) => world.backends[index].link.set_link(Link::Open),
            Cure::Sound(index) => world.backends[index].server.set_behaviour(sound()),
            Cure::Reach(index) => world.daemons[index].link.set_link(Link::Open),
            Cure::Store => world.store.set_mode(Mode::Normal),
            Cure::None => {}
        }
    }
    Ok(())
}

async fn begin(world: &mut World, name: &str, rng: &mut SmallRng) -> eyre::Result<Vec<Cure>> {
    let daemon = rng.random_range(0..world.daemons.len());
    let backend = rng.random_range(0..world.backends.len());
    let links = [Link::Cut, Link::MuteOut, Link::MuteBack, Link::Silent];
    let link = *links.choose(rng).expect("there are links");
    Ok(vec![match name {
        "kill" => {
            world.signal(daemon, Signal::KILL);
            Cure::Launch(daemon)
        }
        "stop" => {
            world.signal(daemon, Signal::STOP);
            Cure::Resume(daemon)
        }
        "terminate" => {
            world.signal(daemon, Signal::TERM);
            Cure::Launch(daemon)
        }
        "kill_many" => {
            let many: Vec<usize> = (0..world.daemons.len())
                .filter(|_| rng.random_bool(0.5))
                .collect();
            for index in &many {
                world.signal(*index, Signal::KILL);
            }
            return Ok(many.into_iter().map(Cure::Launch).collect());
        }
        "store_busy" => store(world, Mode::Unavailable),
        "store_silent" => store(world, Mode::Hang),
        "store_lost" => store(world, Mode::LoseResponse),
        "store_cut" => {
            world.daemons[daemon].link.set_link(link);
            Cure::Reach(daemon)
        }
        "server_gray" => {
            world.backends[backend].server.set_behaviour(gray(rng));
            Cure::Sound(backend)
        }
        "server_cut" => {
            world.backends[backend].link.set_link(link);
            Cure::Heal(backend)
        }
        "server_leaves" => {
            leave(world, backend);
            Cure::None
        }
        "server_joins" => {
            let service = *["registry", "patterns"]
                .choose(rng)
                .expect("there are services");
            world.add_backend(service).await?;
            Cure::None
        }
        _ => {
            world.configure();
            Cure::None
        }
    }])
}

fn store(world: &World, mode: Mode) -> Cure {
    world.store.set_mode(mode);
    Cure::Store
}

/// Lets a server leave, unless it is one of the last two of its service.
fn leave(world: &mut World, index: usize) {
    let service = world.backends[index].service;
    let of = world
        .backends
        .iter()
        .filter(|backend| backend.service == service);
    if of.filter(|backend| backend.left.is_none()).count() > 2 {
        world.list(index, "draining");
    }
}

fn gray(rng: &mut SmallRng) -> Behaviour {
    let share = rng.random_range(0.2..0.9);
    let mut behaviour = sound();
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
