//! The promises, checked from what callers and backend servers saw.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Told;
use crate::faults::Fault;
use crate::world::World;

/// Time after which a server that said that it leaves gets nothing more, while the store is sound.
const LEAVES: Duration = Duration::from_secs(2);
/// Time after faults of the store or of daemons in which bounds on time are not checked.
const TOUCH: Duration = Duration::from_secs(3);
/// Time after the last fault from which requests must be served again.
const RECOVERY: Duration = Duration::from_secs(3);
/// Share of them that must be.
const SERVED: f64 = 0.9;

/// What one run showed.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Faults.
    pub faults: usize,
    /// Promises that were broken, with the request or server.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost = self.requests - self.served - self.refused;
        write!(
            f,
            "seed {}: {} requests, {} served, {} refused, {lost} failed, {} faults, {} broken",
            self.seed,
            self.requests,
            self.served,
            self.refused,
            self.faults,
            self.broken.len()
        )?;
        for broken in &self.broken {
            write!(f, "\n  {broken}")?;
        }
        Ok(())
    }
}

/// Checks all promises.
pub fn check(world: &World, told: &[Told], faults: &[Fault], calm: Instant) -> Report {
    let mut broken = Vec::new();
    for one in told {
        broken.extend(answers(world, one));
    }
    broken.extend(leavers(world, faults));
    broken.extend(recovery(told, calm));
    let with = |good: fn(u16) -> bool| {
        let fits = |one: &&Told| one.status.is_some_and(good);
        told.iter().filter(fits).count()
    };
    Report {
        seed: world.options.seed,
        requests: told.len(),
        served: with(|status| status == 200),
        refused: with(|status| status == 503 || status == 429),
        faults: faults.len(),
        broken,
    }
}

/// Each caller gets its own whole answer, work that must not repeat runs at most once, and *not
/// run* is true.
fn answers(world: &World, one: &Told) -> Option<String> {
    let runs = world.ledger.runs(&one.id);
    let id = &one.id;
    if one.status == Some(200) && !one.whole {
        return Some(format!("{id}: a success that is not its whole answer"));
    }
    if one.once && runs.len() > 1 {
        return Some(format!("{id}: ran {} times", runs.len()));
    }
    let refused = matches!(one.status, Some(408 | 421 | 429 | 503));
    if one.once && refused && !runs.is_empty() {
        return Some(format!("{id}: said not run, and ran"));
    }
    let service = runs.iter().find(|run| run.service != "registry");
    service.map(|run| format!("{id}: ran at {} of {}", run.server, run.service))
}

/// A server that leaves gets nothing new after some seconds, as long as nothing else is wrong.
fn leavers(world: &World, faults: &[Fault]) -> Vec<String> {
    let mut broken = Vec::new();
    let calm = |from: Instant, to: Instant| {
        let wrong = |fault: &&Fault| {
            let harms = !matches!(fault.name, "configure" | "server_joins" | "server_leaves");
            harms && fault.at < to && fault.until + TOUCH > from
        };
        !faults.iter().any(|fault| wrong(&fault))
    };
    let runs = world.ledger.all();
    for backend in &world.backends {
        let Some(left) = backend.left else {
            continue;
        };
        for (id, runs) in &runs {
            let late = runs.iter().find(|run| {
                run.server == backend.server.id()
                    && run.started > left + LEAVES
                    && calm(left, run.started)
            });
            if let Some(run) = late {
                let after = run.started - left;
                broken.push(format!(
                    "{id}: ran at {} {after:?} after it left",
                    run.server
                ));
            }
        }
    }
    broken
}

/// Once all faults are over, requests are served again.
fn recovery(told: &[Told], calm: Instant) -> Option<String> {
    let late: Vec<&Told> = told.iter().filter(|one| one.at > calm + RECOVERY).collect();
    let served = late.iter().filter(|one| one.status == Some(200)).count();
    let share = served as f64 / late.len().max(1) as f64;
    (share < SERVED).then(|| format!("{served} of {} served after the faults", late.len()))
}
