//! Time of one decision, by servers of the service.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use wb_dispatch::Dispatcher;
use wb_dispatch::Options;
use wb_dispatch::Policy;
use wb_dispatch::policy::ServicePlacement;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;
use wb_types::request::QueuedRequest;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Decisions that are timed.
const DECISIONS: u32 = 200_000;
/// Servers of the service.
const SIZES: [usize; 4] = [7, 40, 200, 1000];

pub(super) fn run() {
    println!("decision: servers, mean ns, p50 ns, p99 ns (offer, decide, finish)");
    for servers in SIZES {
        let histogram = measure(servers);
        println!(
            "  {servers:>5} {:>8.0} {:>8} {:>8}",
            histogram.mean(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99)
        );
    }
}

fn measure(servers: usize) -> Histogram<u64> {
    let mut dispatch = dispatch(servers);
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for count in 0..DECISIONS {
        let now = Duration::from_millis(u64::from(count));
        let work = work(now);
        let began = Instant::now();
        let key = dispatch.submit(work, now);
        let decisions = dispatch.take_decisions();
        dispatch.finish(
            key,
            AttemptOutcome::Success(Duration::from_millis(40)),
            None,
            now,
        );
        let took = began.elapsed().as_nanos() as u64;
        drop(decisions);
        let _ = histogram.record(took);
    }
    histogram
}

fn dispatch(servers: usize) -> Dispatcher {
    let mut dispatch = Dispatcher::new(Options {
        instance: "entry00".into(),
        domain: "a".into(),
        service: "registry".into(),
        retry_ratio: 0.1,
        mirror_ratio: 0.1,
        health: Default::default(),
        seed: 1,
    });
    let row = Row {
        key: key(),
        weight: 1,
        rate: 1e9,
        concurrency: 1_000_000,
        queue: 1_000_000,
        wait: Duration::from_millis(100),
        deadline: Duration::from_secs(5),
        floor: 50,
    };
    dispatch.set_rows(&[row], 1, 50);
    let owned = (0..servers).map(|index| Server {
        name: format!("s{index}").into(),
        service: "registry".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        slots: 6,
        connections: 300,
        lifecycle: Lifecycle::Live,
    });
    let place = ServicePlacement {
        owned: owned.collect(),
        other_homes: Vec::new(),
        instance_count: 1,
    };
    dispatch.set_placement(&place, Duration::ZERO);
    dispatch
}

fn key() -> RowKey {
    RowKey {
        service: "registry".into(),
        class: "relief".into(),
    }
}

fn work(now: Duration) -> QueuedRequest {
    QueuedRequest {
        id: "r".into(),
        row: key(),
        caller: "c".into(),
        idempotent: true,
        duration: ExpectedDuration::Short,
        deadline: now + Duration::from_secs(5),
        hops: 0,
        admitted: false,
    }
}
