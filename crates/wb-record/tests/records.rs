//! Batches form a verifiable chain, and records beyond the buffer's limit are dropped and counted.

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

fn buffer(max_batches: usize) -> RecordBuffer {
    RecordBuffer::new(Options {
        instance: "e1".into(),
        incarnation: 1,
        batch_size: 2,
        max_batches,
    })
}

fn store_all(buffer: &mut RecordBuffer) -> Vec<String> {
    let mut texts = Vec::new();
    while let Some(closed) = buffer.oldest_closed().cloned() {
        texts.push(closed.text);
        buffer.remove_stored();
    }
    texts
}

#[test]
fn complete_chain_is_verified_and_changed_or_incomplete_one_is_rejected() {
    let mut buffer = buffer(10);
    (0..7).for_each(|order| buffer.add(record(order)));
    buffer.close_batch();
    let texts = store_all(&mut buffer);
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
    /// Across an outage of the object store of any length, every record is either in a batch or
    /// counted as dropped.
    #[test]
    fn records_are_stored_or_counted_as_dropped(before in 0u64..20, during in 0u64..50, after in 0u64..20) {
        let mut buffer = buffer(3);
        let mut kept = Vec::new();
        let mut order = 0;
        let mut add = |buffer: &mut RecordBuffer, count| (0..count).for_each(|_| {
            order += 1;
            buffer.add(record(order));
        });
        for _ in 0..before {
            add(&mut buffer, 1);
            buffer.close_batch();
            kept.extend(store_all(&mut buffer));
        }
        add(&mut buffer, during);
        kept.extend(store_all(&mut buffer));
        for _ in 0..after {
            add(&mut buffer, 1);
            buffer.close_batch();
            kept.extend(store_all(&mut buffer));
        }
        buffer.close_batch();
        kept.extend(store_all(&mut buffer));
        let batches = verify(&kept).expect("the chain is valid across the outage");
        let stored: u64 = batches.iter().map(|batch| batch.records.len() as u64).sum();
        let dropped: u64 = batches.iter().map(|batch| batch.dropped).sum();
        prop_assert_eq!(stored + dropped, before + during + after);
        prop_assert_eq!(dropped, buffer.total_dropped());
    }
}
