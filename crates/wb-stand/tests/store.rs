//! Version checks of transactions in the platform's stand-in.

use assert_matches::assert_matches;
use wb_platform::protocol::Check;
use wb_platform::protocol::Transaction;
use wb_platform::protocol::Write;
use wb_stand::platform::Store;

fn put(key: &str, expected: u64) -> Transaction {
    Transaction {
        checks: vec![Check {
            table: "t".to_owned(),
            key: key.to_owned(),
            version: expected,
        }],
        writes: vec![Write {
            table: "t".to_owned(),
            key: key.to_owned(),
            value: expected.into(),
        }],
    }
}

#[test]
fn a_transaction_is_committed_only_if_its_checks_hold() {
    let mut store = Store::default();
    let first = store.transact(put("a", 0)).expect("the row is new");
    assert_matches!(store.transact(put("a", 0)), Err(conflicts) if conflicts.keys == ["a"]);
    let second = store
        .transact(put("a", first.version))
        .expect("the version matches");
    assert!(second.version > first.version);
    assert_eq!(store.rows("t", first.version).rows.len(), 1);
    assert_eq!(store.rows("t", second.version).rows.len(), 0);
}
