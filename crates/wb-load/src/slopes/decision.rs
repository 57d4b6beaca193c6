//! Time of one dispatch decision, by the number of servers of the service.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use wb_dispatch::DispatchPolicy;
use wb_dispatch::Dispatcher;
use wb_dispatch::Options;
use wb_dispatch::policy::LocalPlacement;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::request::AttemptOutcome;
use wb_types::request::ExpectedDuration;
use wb_types::request::QueuedRequest;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Decisions that are timed for each size.
const DECISION_COUNT: u32 = 200_000;
/// Numbers of servers of the service.
const SERVER_COUNTS: [usize; 4] = [7, 40, 200, 1000];

pub(super) fn run() {
    println!("decision: servers, mean ns, p50 ns, p99 ns (submit, decide, finish)");
    for servers in SERVER_COUNTS {
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
    let mut dispatcher = new_dispatcher(servers);
    let mut histogram = Histogram::new(3).expect("three significant digits are valid");
    for index in 0..DECISION_COUNT {
        let now = Duration::from_millis(u64::from(index));
        let request = queued_request(now);
        let started = Instant::now();
        let key = dispatcher.submit(request, now);
        let decisions = dispatcher.take_decisions();
        dispatcher.finish(
            key,
            AttemptOutcome::Success(Duration::from_millis(40)),
            None,
            now,
        );
        let took = started.elapsed().as_nanos() as u64;
        drop(decisions);
        let _ = histogram.record(took);
    }
    histogram
}

fn new_dispatcher(servers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options {
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
    dispatcher.set_rows(&[row], 1, 50);
    let owned = (0..servers).map(|index| Server {
        name: format!("s{index}").into(),
        service: "registry".into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        domain: "a".into(),
        slots: 6,
        max_connections: 300,
        lifecycle: Lifecycle::Live,
    });
    let placement = LocalPlacement {
        owned: owned.collect(),
        other_homes: Vec::new(),
        instance_count: 1,
    };
    dispatcher.set_placement(&placement, Duration::ZERO);
    dispatcher
}

fn key() -> RowKey {
    RowKey {
        service: "registry".into(),
        class: "relief".into(),
    }
}

fn queued_request(now: Duration) -> QueuedRequest {
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
