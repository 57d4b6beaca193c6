//! The list of servers through outages, compaction and cuts of the platform, on virtual time.

use std::time::Duration;

use wb_members::listing::Entry;
use wb_members::listing::Listing;
use wb_members::listing::RowChange;
use wb_members::listing::Update;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Time in which servers register again after an outage, by the platform's documentation, and the
/// slack that an instance may add to it before work must have stopped.
const RETURN_MAX: Duration = Duration::from_millis(3000);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn entry(name: &str) -> Entry {
    Entry {
        server: Server {
            name: name.into(),
            service: "registry".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: "a".into(),
            slots: 6,
            connections: 10,
            lifecycle: Lifecycle::Live,
        },
        warmup: Duration::ZERO,
        started: 1,
    }
}

fn listing(names: &[&str]) -> Listing {
    let mut listing = Listing::default();
    let rows = names.iter().map(|name| row(10, name)).collect();
    listing.replace(10, rows, at(0));
    listing
}

fn row(version: u64, name: &str) -> RowChange {
    RowChange {
        name: name.into(),
        version,
        entry: Some(entry(name)),
    }
}

fn gone(version: u64, name: &str) -> RowChange {
    RowChange {
        name: name.into(),
        version,
        entry: None,
    }
}

fn update(after: u64, upto: u64, changes: Vec<RowChange>) -> Update {
    Update {
        after,
        upto,
        part: 0,
        parts: 1,
        changes,
    }
}

fn holds(listing: &Listing, name: &str) -> bool {
    listing.entries().contains_key(name)
}

#[test]
fn a_server_that_vanishes_from_a_sound_platform_is_gone_at_once() {
    let mut listing = listing(&["s1", "s2"]);
    let changed = listing.apply(11, vec![gone(11, "s1")], at(1000));
    assert_eq!(changed.len(), 1);
    assert!(!holds(&listing, "s1") && holds(&listing, "s2"));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_its_server_is_back() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_answer(at(5500));
    listing.apply(11, vec![gone(11, "s1")], at(5500));
    assert!(holds(&listing, "s1"));
    listing.apply(12, vec![row(12, "s1")], at(7000));
    assert!(listing.expire(at(60_000)).is_empty());
    assert!(holds(&listing, "s1"));
}

#[test]
fn an_entry_that_lapsed_and_does_not_come_back_is_gone() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_answer(at(5500));
    listing.apply(11, vec![gone(11, "s1")], at(5500));
    assert!(
        listing.expire(at(7000)).is_empty(),
        "it had no time to come back"
    );
    let names = listing.expire(at(5500) + RETURN_MAX);
    assert_eq!(names.len(), 1);
    assert!(!holds(&listing, "s1"));
}

#[test]
fn an_instance_that_was_cut_off_drops_servers_that_left_meanwhile_without_a_further_answer() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(12_000), at(12_000));
    listing.record_answer(at(13_000));
    listing.replace(90, vec![row(10, "s2")], at(13_000));
    let names = listing.expire(at(13_000) + RETURN_MAX);
    assert_eq!(
        names.len(),
        1,
        "no further answer of the platform is needed"
    );
}

#[test]
fn a_failure_that_showed_late_makes_no_later_removal_a_lapse() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(9500), at(12_200));
    listing.record_answer(at(12_400));
    listing.apply(11, vec![gone(11, "s1")], at(15_100));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn a_lapsed_entry_is_kept_while_the_platform_is_away_again() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_answer(at(5500));
    listing.apply(11, vec![gone(11, "s1")], at(5500));
    listing.record_failure(at(6000), at(6000));
    assert!(listing.expire(at(9000)).is_empty());
    listing.record_answer(at(9500));
    assert!(listing.expire(at(11_000)).is_empty());
    assert_eq!(listing.expire(at(9500) + RETURN_MAX).len(), 1);
}

#[test]
fn a_server_that_said_that_it_leaves_is_not_kept() {
    let mut listing = listing(&["s1", "s2"]);
    let mut leaving = row(11, "s1");
    let entry = leaving.entry.as_mut().expect("it has an entry");
    entry.server.lifecycle = Lifecycle::Leaving;
    listing.apply(11, vec![leaving], at(1000));
    listing.record_failure(at(2000), at(2000));
    listing.apply(12, vec![gone(12, "s1")], at(2500));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn news_with_a_gap_before_them_are_not_taken() {
    let mut listing = listing(&["s1"]);
    assert!(
        listing
            .apply_update(update(11, 12, vec![gone(12, "s1")]))
            .is_none()
    );
    assert!(holds(&listing, "s1"));
    assert_eq!(listing.content_version(), Some(10));
}

#[test]
fn old_news_of_others_reverts_nothing() {
    let mut listing = listing(&["s1"]);
    listing.apply(15, vec![gone(15, "s1")], at(100));
    listing.apply_update(update(10, 12, vec![row(12, "s1")]));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn news_are_not_missed_when_the_teller_reads_on_without_changes() {
    let mut teller = listing(&["s1", "s2"]);
    let mut other = listing(&["s1", "s2"]);
    teller.apply(40, Vec::new(), at(100));
    let after = teller.content_version().expect("it has a list");
    let changes = teller.apply(44, vec![gone(43, "s1")], at(200));
    let upto = teller.content_version().expect("it has a list");
    assert!(other.apply_update(update(after, upto, changes)).is_some());
    assert!(!holds(&other, "s1"));
    assert_eq!(other.content_version(), teller.content_version());
}

#[test]
fn an_update_counts_only_once_all_its_parts_have_come() {
    let mut listing = listing(&["s1", "s2"]);
    let part = |part, name| Update {
        part,
        parts: 2,
        ..update(10, 12, vec![gone(12, name)])
    };
    listing.apply_update(part(1, "s2"));
    assert_eq!(
        listing.content_version(),
        Some(10),
        "the first part is missing"
    );
    listing.apply_update(part(0, "s1"));
    assert_eq!(listing.content_version(), Some(12));
    assert!(!holds(&listing, "s1") && !holds(&listing, "s2"));
}
