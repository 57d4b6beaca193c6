//! Randomized soak: real gateway daemons as processes of their own, faults from outside.
//!
//! - [`world`]: processes, stand-ins and the links between them.
//! - [`faults`]: what is done to them, drawn from a seed.
//! - [`caller`]: requests, and what their callers were told.
//! - [`check`]: the promises, checked from what callers and backend servers saw.

pub mod caller;
pub mod check;
pub mod faults;
pub mod world;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::check::Report;
use crate::world::Options;
use crate::world::World;

/// Time without faults at the end, in which the fleet must serve again.
pub const CALM: Duration = Duration::from_secs(6);

/// Runs one seed and checks the promises.
///
/// # Errors
///
/// When a process can't be started or does not get ready.
pub async fn run(options: Options, time: Duration) -> eyre::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut world = World::start(options).await?;
    world.until_ready().await?;
    let callers = caller::Callers::start(&world);
    let faults = faults::play(&mut world, time, &mut rng).await?;
    let calm = std::time::Instant::now();
    tokio::time::sleep(CALM).await;
    let told = callers.finish().await;
    let report = check::check(&world, &told, &faults, calm);
    world.stop();
    Ok(report)
}
