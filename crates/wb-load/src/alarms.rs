//! False ejections and detection times with and without pooled evidence, simulated on virtual time.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use wb_health::Evidence;
use wb_health::HealthMonitor;
use wb_health::Options;
use wb_health::ServerKey;
use wb_health::monitor::Arrival;

/// Backend servers of one owner.
const SERVER_COUNT: usize = 7;
/// Requests per second to each server.
const REQUEST_RATE: f64 = 5.0;
/// Error rate of a healthy server.
const HEALTHY_ERROR_RATE: f64 = 0.01;
/// Error rate of a faulty server, which fails partially.
const FAULTY_ERROR_RATE: f64 = 0.5;
/// Mean processing time of a request, in seconds.
const MEAN_WORK_S: f64 = 0.04;
/// Instances among which the requests are divided if they do not pool their evidence.
const UNPOOLED_INSTANCES: usize = 40;
/// Simulated faulty servers per detection measurement.
const TRIALS: u64 = 400;
/// Samples after which a faulty server counts as undetected.
const MAX_SAMPLES: u32 = 5000;

/// Health monitor of one owner, fed with random results of its servers.
struct Simulation {
    monitor: HealthMonitor,
    keys: Vec<ServerKey>,
    rng: SmallRng,
    now: Duration,
    ejections: u64,
}

impl Simulation {
    fn new(seed: u64, options: Options) -> Self {
        let mut monitor = HealthMonitor::new(options);
        monitor.set_floor(50);
        let arrive = |index| {
            monitor.insert(
                format!("s{index}").into(),
                6,
                Arrival::Known,
                Duration::ZERO,
            )
        };
        let keys = (0..SERVER_COUNT).map(arrive).collect();
        Self {
            monitor,
            keys,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            ejections: 0,
        }
    }

    /// Simulates one request to each server; `first_error_rate` is that of the first server.
    fn step(&mut self, first_error_rate: f64, rate: f64) {
        self.now += Duration::from_secs_f64(1.0 / rate);
        let work_time = Exp::new(1.0 / MEAN_WORK_S).expect("the rate is positive");
        for (index, key) in self.keys.iter().enumerate() {
            let error_rate = if index == 0 {
                first_error_rate
            } else {
                HEALTHY_ERROR_RATE
            };
            let sample = if self.rng.random::<f64>() < error_rate {
                Evidence::Failed
            } else {
                Evidence::Short(Duration::from_secs_f64(work_time.sample(&mut self.rng)))
            };
            let change = self.monitor.record(*key, sample, self.now);
            let out = change.is_some_and(|change| change.to == "ejected");
            self.ejections += u64::from(out);
        }
        self.monitor.tick(self.now);
    }
}

/// Prints the number of false ejections over `hours` server-hours, and detection times.
pub fn run(hours: f64, seed: u64) {
    let mut simulation = Simulation::new(seed, Options::default());
    let steps = (hours * 3600.0 * REQUEST_RATE / SERVER_COUNT as f64) as u64;
    for _ in 0..steps {
        simulation.step(HEALTHY_ERROR_RATE, REQUEST_RATE);
    }
    println!(
        "healthy servers, 1% errors, exponential work: {} ejections in {hours} server-hours",
        simulation.ejections
    );
    println!("gray server, 5 requests/s: seconds until ejected, p50 p99 (undetected)");
    measure_detection("one owner, pooled evidence", REQUEST_RATE, seed);
    measure_detection(
        "40 instances, not pooled",
        REQUEST_RATE / UNPOOLED_INSTANCES as f64,
        seed,
    );
}

fn measure_detection(name: &str, rate: f64, seed: u64) {
    let mut times = Vec::new();
    let mut undetected = 0;
    for trial in 0..TRIALS {
        let mut simulation = Simulation::new(seed * TRIALS + trial, Options::default());
        for _ in 0..200 {
            simulation.step(HEALTHY_ERROR_RATE, rate);
        }
        let faulty_since = simulation.now;
        let mut steps = 0;
        while simulation.monitor.state(simulation.keys[0]) != "ejected" && steps < MAX_SAMPLES {
            simulation.step(FAULTY_ERROR_RATE, rate);
            steps += 1;
        }
        if steps == MAX_SAMPLES {
            undetected += 1;
        } else {
            times.push((simulation.now - faulty_since).as_secs_f64());
        }
    }
    times.sort_by(f64::total_cmp);
    let quantile = |share: f64| times[((times.len() as f64 * share) as usize).min(times.len() - 1)];
    println!(
        "  {name}: {:.1} {:.1} ({undetected})",
        quantile(0.5),
        quantile(0.99)
    );
}
