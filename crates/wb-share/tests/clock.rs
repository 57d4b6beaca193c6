//! Fair queueing of flows: who is next, and what is remembered of whom.

use std::collections::HashMap;

use wb_share::FairClock;

/// Serves the flow with the lowest tag, `count` times. Returns how often each was served.
fn serve(
    clock: &mut FairClock<&'static str>,
    flows: &[(&'static str, f64)],
    count: usize,
) -> HashMap<&'static str, usize> {
    let mut served = HashMap::new();
    for _ in 0..count {
        let next = flows
            .iter()
            .min_by(|(a, _), (b, _)| clock.start(a).total_cmp(&clock.start(b)));
        let (flow, weight) = next.expect("there are flows");
        clock.wake(flow);
        clock.charge(flow, 1.0, *weight);
        clock.advance(1);
        *served.entry(*flow).or_default() += 1;
    }
    served
}

#[test]
fn busy_flows_are_served_by_weight() {
    let mut clock = FairClock::default();
    let served = serve(&mut clock, &[("large", 7.0), ("small", 1.0)], 800);
    assert!((698..=702).contains(&served["large"]), "{served:?}");
}

#[test]
fn idle_flow_gets_no_credit() {
    let mut clock = FairClock::default();
    serve(&mut clock, &[("busy", 1.0)], 1000);
    let served = serve(&mut clock, &[("busy", 1.0), ("back", 1.0)], 100);
    assert!((49..=51).contains(&served["back"]), "{served:?}");
}

#[test]
fn flow_that_leaves_and_returns_gains_nothing() {
    let mut clock = FairClock::default();
    let mut total = 0;
    for _ in 0..100 {
        total += serve(&mut clock, &[("steady", 1.0), ("coming", 1.0)], 3)["coming"];
        serve(&mut clock, &[("steady", 1.0)], 1);
    }
    assert!(total <= 201, "{total} of 400");
}

#[test]
fn units_in_service_are_remembered() {
    let mut clock = FairClock::default();
    for in_service in 1..=10 {
        clock.charge(&"early", 1.0, 1.0);
        clock.advance(in_service);
    }
    // Ten units that are still in service count against the flow that has them.
    let mut first = 0;
    while clock.start(&"late") < clock.start(&"early") {
        clock.wake(&"late");
        clock.charge(&"late", 1.0, 1.0);
        clock.advance(10);
        first += 1;
    }
    assert!((5..=10).contains(&first), "{first}");
}

#[test]
fn nothing_is_remembered_of_idle_flows() {
    let mut clock = FairClock::default();
    for flow in 0..28_000 {
        clock.wake(&flow);
        clock.charge(&flow, 1.0, 1.0);
        clock.advance(10);
        clock.forget_idle();
    }
    assert!(clock.flow_count() <= 2000, "{}", clock.flow_count());
}

#[test]
fn refunded_unit_is_not_charged() {
    let mut clock = FairClock::default();
    clock.wake(&"a");
    let before = clock.start(&"a");
    clock.charge(&"a", 1.0, 2.0);
    clock.refund(&"a", 1.0, 2.0);
    assert_eq!(clock.start(&"a"), before);
}
