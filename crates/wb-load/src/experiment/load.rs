//! Open-loop load: requests are sent at their due times whether or not earlier ones have ended.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;

use super::plan::Load;
use super::plan::Plan;
use crate::caller::Caller;
use crate::caller::RequestOutcome;
use crate::caller::RequestSpec;

/// Number of callers of each load.
const CALLERS_PER_LOAD: usize = 12;

/// Result of one request.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Due time, in seconds from the start of the load.
    pub(super) due: f64,
    /// Time from the due time to the end of the response.
    pub(super) latency: Duration,
    /// Outcome as the caller saw it.
    pub(super) outcome: RequestOutcome,
    /// Whether it was a long request (`long_ms`).
    pub(super) long: bool,
}

/// Results of one load.
pub(super) type Samples = Arc<Mutex<Vec<Sample>>>;

/// Sends the requests of one load until the experiment ends, then waits up to 30 s for responses.
pub(super) async fn run(
    plan: Arc<Plan>,
    load: Load,
    callers: Vec<Arc<Caller>>,
    started: Instant,
    seed: u64,
) -> Samples {
    let samples: Samples = Arc::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let body = Bytes::from(vec![1; load.body_bytes]);
    let mut at = 0.0;
    let mut tasks = Vec::new();
    loop {
        let factor = if load.swings {
            plan.demand_factor(at)
        } else {
            1.0
        };
        let gap = Exp::new(load.rate * factor).expect("rates are positive");
        at += gap.sample(&mut rng);
        if at >= plan.seconds {
            break;
        }
        let due = started + Duration::from_secs_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let long = rng.random::<f64>() < load.long;
        let spec = request_spec(&load, &body, long, &mut rng);
        let caller = callers[rng.random_range(0..callers.len())].clone();
        let samples = samples.clone();
        let uneven = load.uneven;
        tasks.push(tokio::spawn(async move {
            let outcome = match caller.random_instance().filter(|_| uneven) {
                Some(address) => caller.send_to(address, &spec).await,
                None => caller.send(&spec).await,
            };
            let sample = Sample {
                due: at,
                latency: due.elapsed(),
                outcome,
                long,
            };
            samples.lock().expect("lock is not poisoned").push(sample);
        }));
    }
    let all = futures::future::join_all(tasks);
    let _ = tokio::time::timeout(Duration::from_secs(30), all).await;
    samples
}

/// Creates the callers of a load.
pub(super) fn new_callers(load: &Load, addresses: &[std::net::SocketAddr]) -> Vec<Arc<Caller>> {
    let instances = if load.uneven {
        &addresses[..addresses.len().div_ceil(3)]
    } else {
        addresses
    };
    let make = |_| Arc::new(Caller::new(&load.key, instances.to_vec()));
    (0..CALLERS_PER_LOAD).map(make).collect()
}

fn request_spec(load: &Load, body: &Bytes, long: bool, rng: &mut SmallRng) -> RequestSpec {
    let work_ms = if long {
        load.long_ms
    } else if load.steady {
        load.work_ms
    } else {
        let time = Exp::new(1.0 / load.work_ms).expect("processing times are positive");
        time.sample(rng)
    };
    let path = format!("/{}/{}", load.name, rng.random_range(0..1000));
    let mut spec = if body.is_empty() {
        RequestSpec::lookup(&load.service, &path, work_ms)
    } else {
        RequestSpec::upload(&load.service, &path, body.clone(), work_ms)
    };
    spec.class = Some(load.class.clone());
    spec
}
