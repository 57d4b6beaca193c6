//! Wrong ejections and detection on virtual time, pooled evidence against instances alone.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use wb_health::HealthMonitor;
use wb_health::Options;
use wb_health::Sample;
use wb_health::ServerKey;
use wb_health::monitor::Arrival;

/// Servers of one owner.
const SERVERS: usize = 7;
/// Requests per second at each server.
const RATE: f64 = 5.0;
/// Share of errors of a healthy server.
const ERRORS: f64 = 0.01;
/// Share of errors of a gray server.
const GRAY: f64 = 0.5;
/// Mean time of work, in seconds.
const WORK: f64 = 0.04;
/// Instances that each see a part of the evidence when they act alone.
const ALONE: usize = 40;
/// Gray servers that are watched.
const TRIALS: u64 = 400;
/// Longest watch, in samples.
const WATCH: u32 = 5000;

/// One owner's servers under random work.
struct World {
    ward: HealthMonitor,
    keys: Vec<ServerKey>,
    rng: SmallRng,
    now: Duration,
    ejections: u64,
}

impl World {
    fn new(seed: u64, options: Options) -> Self {
        let mut ward = HealthMonitor::new(options);
        ward.set_floor(50);
        let arrive = |index| {
            ward.insert(
                format!("s{index}").into(),
                6,
                Arrival::Known,
                Duration::ZERO,
            )
        };
        let keys = (0..SERVERS).map(arrive).collect();
        Self {
            ward,
            keys,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            ejections: 0,
        }
    }

    /// One request at each server; the first one's share of errors is given.
    fn turn(&mut self, first: f64, rate: f64) {
        self.now += Duration::from_secs_f64(1.0 / rate);
        let time = Exp::new(1.0 / WORK).expect("a time above 0");
        for (index, key) in self.keys.iter().enumerate() {
            let errors = if index == 0 { first } else { ERRORS };
            let sample = if self.rng.random::<f64>() < errors {
                Sample::Bad
            } else {
                Sample::Short(Duration::from_secs_f64(time.sample(&mut self.rng)))
            };
            let change = self.ward.record(*key, sample, self.now);
            let out = change.is_some_and(|change| change.to == "ejected");
            self.ejections += u64::from(out);
        }
        self.ward.tick(self.now);
    }
}

/// Prints wrong ejections over a number of server-hours, and detection times.
pub fn run(hours: f64, seed: u64) {
    let mut world = World::new(seed, Options::default());
    let turns = (hours * 3600.0 * RATE / SERVERS as f64) as u64;
    for _ in 0..turns {
        world.turn(ERRORS, RATE);
    }
    println!(
        "healthy servers, 1% errors, exponential work: {} ejections in {hours} server-hours",
        world.ejections
    );
    println!("gray server, 5 requests/s: seconds until out, p50 p99 (not found)");
    detection("one owner sees all", RATE, seed);
    detection("40 instances alone", RATE / ALONE as f64, seed);
}

fn detection(name: &str, rate: f64, seed: u64) {
    let mut found = Vec::new();
    let mut missed = 0;
    for trial in 0..TRIALS {
        let mut world = World::new(seed * TRIALS + trial, Options::default());
        for _ in 0..200 {
            world.turn(ERRORS, rate);
        }
        let since = world.now;
        let mut turns = 0;
        while world.ward.state(world.keys[0]) != "ejected" && turns < WATCH {
            world.turn(GRAY, rate);
            turns += 1;
        }
        if turns == WATCH {
            missed += 1;
        } else {
            found.push((world.now - since).as_secs_f64());
        }
    }
    found.sort_by(f64::total_cmp);
    let at = |quantile: f64| found[((found.len() as f64 * quantile) as usize).min(found.len() - 1)];
    println!("  {name}: {:.1} {:.1} ({missed})", at(0.5), at(0.99));
}
