//! Batches: chained, bounded, and drops are told.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use wb_record::DecisionRecord;
use wb_record::RecordBuffer;
use wb_record::buffer::Options;
use wb_record::chain::ChainError;
use wb_record::chain::verify;
use wb_types::policy::RowKey;

fn record(order: u64) -> DecisionRecord {
    DecisionRecord {
        request: format!("e1-1-{order}").into(),
        at: Duration::from_secs(order),
        caller: "c".into(),
        row: RowKey {
            service: "registry".into(),
            class: "relief".into(),
        },
        table: 1,
        order,
        tag: order as f64 / 3.0,
        ahead: 0,
        waited: Duration::ZERO,
        verdict: "run".into(),
        target: "s1".into(),
        candidates: Vec::new(),
    }
}

fn log(max_batches: usize) -> RecordBuffer {
    RecordBuffer::new(Options {
        instance: "e1".into(),
        incarnation: 1,
        batch_size: 2,
        max_batches,
    })
}

fn texts(log: &mut RecordBuffer) -> Vec<String> {
    let mut texts = Vec::new();
    while let Some(closed) = log.oldest_closed().cloned() {
        texts.push(closed.text);
        log.remove_stored();
    }
    texts
}

#[test]
fn a_whole_chain_is_a_proof_and_a_changed_one_is_none() {
    let mut log = log(10);
    (0..7).for_each(|order| log.add(record(order)));
    log.close_batch();
    let texts = texts(&mut log);
    assert_eq!(verify(&texts).map(|batches| batches.len()), Ok(4));
    let mut changed = texts.clone();
    changed[1] = changed[1].replace("s1", "s2");
    assert_eq!(verify(&changed), Err(ChainError::Broken(2)));
    let mut missing = texts.clone();
    missing.remove(1);
    assert_eq!(verify(&missing), Err(ChainError::Missing(1)));
    assert_matches!(verify(&["{}".to_owned()]), Err(ChainError::Malformed(0)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Through an outage of any length, every record is in a batch or counted as dropped.
    #[test]
    fn nothing_vanishes(before in 0u64..20, during in 0u64..50, after in 0u64..20) {
        let mut log = log(3);
        let mut kept = Vec::new();
        let mut order = 0;
        let mut add = |log: &mut RecordBuffer, count| (0..count).for_each(|_| {
            order += 1;
            log.add(record(order));
        });
        for _ in 0..before {
            add(&mut log, 1);
            log.close_batch();
            kept.extend(texts(&mut log));
        }
        add(&mut log, during);
        kept.extend(texts(&mut log));
        for _ in 0..after {
            add(&mut log, 1);
            log.close_batch();
            kept.extend(texts(&mut log));
        }
        log.close_batch();
        kept.extend(texts(&mut log));
        let batches = verify(&kept).expect("the chain holds through the outage");
        let stored: u64 = batches.iter().map(|batch| batch.records.len() as u64).sum();
        let dropped: u64 = batches.iter().map(|batch| batch.dropped).sum();
        prop_assert_eq!(stored + dropped, before + during + after);
        prop_assert_eq!(dropped, log.total_dropped());
    }
}
