//! Edits and deltas under random races and stale reads, compared with a simple model.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wb_table::Table;
use wb_table::edit::merge;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::Row;
use wb_types::policy::RowKey;

fn row(class: usize, weight: u32) -> Row {
    Row {
        key: RowKey {
            service: "registry".into(),
            class: format!("c{class}").into(),
        },
        weight,
        rate: 10.0,
        concurrency: 1,
        queue: 1,
        wait: Duration::from_millis(10),
        deadline: Duration::from_millis(100),
        floor: 50,
    }
}

/// One step: an operator edits a row based on a version that may be old, or an instance receives a
/// delta that is or was correct.
#[derive(Clone, Debug)]
enum Step {
    Edit {
        class: usize,
        weight: u32,
        behind: usize,
    },
    Receive {
        at: usize,
        after: usize,
        behind: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4usize, 1..1000u32, 0..4usize).prop_map(|(class, weight, behind)| Step::Edit {
            class,
            weight,
            behind
        }),
        (0..3usize, 0..4usize, 0..6usize).prop_map(|(at, after, behind)| Step::Receive {
            at,
            after,
            behind
        }),
    ]
}

fn run(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut history = vec![Table::default()];
    let mut accepted: BTreeMap<usize, (u64, u32)> = BTreeMap::new();
    let mut instances = vec![Table::default(); 3];
    for step in steps {
        let newest = history.len() - 1;
        match step {
            Step::Edit {
                class,
                weight,
                behind,
            } => {
                let base = newest.saturating_sub(*behind) as u64;
                let edit = Edit {
                    id: "e".into(),
                    base,
                    rows: vec![row(*class, *weight)],
                    dropped: Vec::new(),
                    callers: Vec::new(),
                };
                let changed = accepted
                    .get(class)
                    .is_some_and(|(version, _)| *version > base);
                let merged = merge(&history[newest], &edit);
                prop_assert_eq!(
                    merged.is_err(),
                    changed,
                    "an edit is refused exactly if its row changed after its base"
                );
                if let Ok(delta) = merged {
                    let mut table = history[newest].clone();
                    table.apply(&delta);
                    accepted.insert(*class, (table.version(), *weight));
                    history.push(table);
                }
            }
            Step::Receive { at, after, behind } => {
                let source = &history[newest.saturating_sub(*behind)];
                let after = source.version().saturating_sub(*after as u64);
                let before = instances[*at].version();
                let delta: Delta = source.delta_since(after);
                instances[*at].apply(&delta);
                let table = &instances[*at];
                prop_assert!(table.version() >= before, "a version decreased");
                let expected = &history[table.version() as usize];
                let same = table.rows().eq(expected.rows());
                prop_assert!(same, "the rows are not those of the version");
            }
        }
    }
    let last = history.last().expect("the history has a first table");
    for (class, (_, weight)) in &accepted {
        let found = last.row(&row(*class, 1).key).map(|row| row.weight);
        prop_assert_eq!(found, Ok(*weight), "an accepted edit was lost");
    }
    Ok(())
}

#[test]
fn random_races_lose_no_accepted_edit_and_revert_no_row() {
    let config = Config {
        cases: 1000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 0..80);
    runner
        .run(&steps, |steps| run(&steps))
        .expect("edits merge");
}

#[test]
fn rows_newer_than_the_version_are_in_force_and_kept() {
    let mut table = Table::default();
    table.apply(&merge(&table, &edit(1, 5, 0)).expect("the first edit wins"));
    let early = wb_types::policy::VersionedRow {
        version: 9,
        content: wb_types::policy::Content::Policy(row(1, 77)),
    };
    assert!(table.apply_early(std::slice::from_ref(&early)));
    assert!(!table.apply_early(std::slice::from_ref(&early)));
    assert_eq!(table.version(), 1);
    assert_eq!(table.newest_version(), 9);
    assert_eq!(table.row(&row(1, 1).key).map(|row| row.weight), Ok(77));
    // A delta to an older version changes neither the row nor the list of newer rows.
    table.apply(&Delta {
        after: 1,
        upto: 4,
        rows: Vec::new(),
    });
    assert_eq!(table.row(&row(1, 1).key).map(|row| row.weight), Ok(77));
    assert_eq!(table.newer_rows().len(), 1);
}

fn edit(class: usize, weight: u32, base: u64) -> Edit {
    Edit {
        id: "e".into(),
        base,
        rows: vec![row(class, weight)],
        dropped: Vec::new(),
        callers: Vec::new(),
    }
}
