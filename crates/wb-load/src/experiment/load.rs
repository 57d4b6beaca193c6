//! Open-loop load: each request is due at its time, whatever became of those before it.

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
use crate::caller::Ask;
use crate::caller::Caller;
use crate::caller::Fate;

/// Callers of each load.
const CALLERS: usize = 12;

/// One ended request.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// When it was due, in seconds from the start.
    pub(super) due: f64,
    /// Time from when it was due to the end of its answer.
    pub(super) took: Duration,
    /// What became of it.
    pub(super) fate: Fate,
    /// Whether it asked for long work.
    pub(super) long: bool,
}

/// Requests of one load.
pub(super) type Samples = Arc<Mutex<Vec<Sample>>>;

/// Sends the requests of one load until the experiment ends.
pub(super) async fn run(
    plan: Arc<Plan>,
    load: Load,
    callers: Vec<Arc<Caller>>,
    began: Instant,
    seed: u64,
) -> Samples {
    let samples: Samples = Arc::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let body = Bytes::from(vec![1; load.body_bytes]);
    let mut at = 0.0;
    let mut tasks = Vec::new();
    loop {
        let factor = if load.swings { plan.factor(at) } else { 1.0 };
        let gap = Exp::new(load.rate * factor).expect("rates are above 0");
        at += gap.sample(&mut rng);
        if at >= plan.seconds {
            break;
        }
        let due = began + Duration::from_secs_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let long = rng.random::<f64>() < load.long;
        let ask = ask(&load, &body, long, &mut rng);
        let caller = callers[rng.random_range(0..callers.len())].clone();
        let samples = samples.clone();
        let uneven = load.uneven;
        tasks.push(tokio::spawn(async move {
            let fate = match caller.any().filter(|_| uneven) {
                Some(address) => caller.send_to(address, &ask).await,
                None => caller.send(&ask).await,
            };
            let sample = Sample {
                due: at,
                took: due.elapsed(),
                fate,
                long,
            };
            samples.lock().expect("no holder panics").push(sample);
        }));
    }
    let all = futures::future::join_all(tasks);
    let _ = tokio::time::timeout(Duration::from_secs(30), all).await;
    samples
}

/// Callers of a load.
pub(super) fn callers(load: &Load, entries: &[std::net::SocketAddr]) -> Vec<Arc<Caller>> {
    let known = if load.uneven {
        &entries[..entries.len().div_ceil(3)]
    } else {
        entries
    };
    let make = |_| Arc::new(Caller::new(&load.key, known.to_vec()));
    (0..CALLERS).map(make).collect()
}

fn ask(load: &Load, body: &Bytes, long: bool, rng: &mut SmallRng) -> Ask {
    let work = if long {
        load.long_ms
    } else if load.steady {
        load.work_ms
    } else {
        let time = Exp::new(1.0 / load.work_ms).expect("times are above 0");
        time.sample(rng)
    };
    let path = format!("/{}/{}", load.name, rng.random_range(0..1000));
    let mut ask = if body.is_empty() {
        Ask::lookup(&load.service, &path, work)
    } else {
        Ask::upload(&load.service, &path, body.clone(), work)
    };
    ask.class = Some(load.class.clone());
    ask
}
