//! Memory of table and tickets, and bytes of messages.

use std::time::Duration;

use wb_table::Table;
use wb_types::policy::CallerRow;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::Row;
use wb_types::policy::RowKey;
use wb_types::policy::VersionedRow;

use crate::fleet::Usage;

/// Rows of callers and of the policy.
const SIZES: [Size; 3] = [
    Size {
        callers: 1000,
        rows: 200,
    },
    Size {
        callers: 10_000,
        rows: 2000,
    },
    Size {
        callers: 28_000,
        rows: 4800,
    },
];

/// Size of a table.
#[derive(Clone, Copy)]
struct Size {
    callers: usize,
    rows: usize,
}

pub(super) fn run() {
    println!("table: callers, rows, KiB resident, bytes of a full copy, bytes of a one-row edit");
    for size in SIZES {
        let before = Usage::of(std::process::id()).unwrap_or_default().memory;
        let delta = delta(size);
        let full = serde_json::to_string(&delta).map_or(0, |text| text.len());
        let mut table = Table::default();
        table.apply(&delta);
        drop(delta);
        let after = Usage::of(std::process::id()).unwrap_or_default().memory;
        let edit = serde_json::to_string(&table.delta_since(1)).map_or(0, |text| text.len());
        println!(
            "  {:>6} {:>5} {:>7} {full:>9} {edit:>5}",
            size.callers,
            size.rows,
            after.saturating_sub(before) / 1024
        );
        std::mem::forget(table);
    }
}

fn delta(size: Size) -> Delta {
    let callers = (0..size.callers).map(|index| {
        Content::Caller(CallerRow {
            digest: format!("{index:064x}"),
            caller: format!("team-{index:05}").into(),
            classes: vec!["standard".into()],
        })
    });
    let rows = (0..size.rows).map(|index| {
        Content::Policy(Row {
            key: RowKey {
                service: format!("service{:03}", index % 430).into(),
                class: format!("class{:02}", index / 430).into(),
            },
            weight: 1,
            rate: 100.0,
            concurrency: 10,
            queue: 10,
            wait: Duration::from_millis(100),
            deadline: Duration::from_secs(5),
            floor: 50,
        })
    });
    // The last row is the one that a later edit changed.
    let last = size.callers + size.rows - 1;
    let versioned = callers
        .chain(rows)
        .enumerate()
        .map(|(index, content)| VersionedRow {
            version: if index == last { 2 } else { 1 },
            content,
        });
    Delta {
        after: 0,
        upto: 2,
        rows: versioned.collect(),
    }
}
