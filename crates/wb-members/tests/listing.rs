//! The list of servers during outages of the platform, compactions and disconnections, on virtual
//! time.

use std::time::Duration;

use assert_matches::assert_matches;
use wb_members::listing::Applied;
use wb_members::listing::ERA_SHIFT;
use wb_members::listing::Entry;
use wb_members::listing::Listing;
use wb_members::listing::RowChange;
use wb_members::listing::Update;
use wb_types::id::Moment;
use wb_types::roster::Lifecycle;
use wb_types::roster::Server;

/// Time in which servers register again after an outage by the platform's documentation, plus the
/// slack that an instance may add before it must stop sending requests.
const REREGISTER_MAX: Duration = Duration::from_millis(3000);

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
            max_connections: 10,
            lifecycle: Lifecycle::Live,
        },
        warmup: Duration::ZERO,
        started: 1,
        serial: 1,
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

fn removed(version: u64, name: &str) -> RowChange {
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
        id: 1,
    }
}

fn holds(listing: &Listing, name: &str) -> bool {
    listing.entries().contains_key(name)
}

#[test]
fn removed_server_is_dropped_at_once_without_an_outage() {
    let mut listing = listing(&["s1", "s2"]);
    let changed = listing.apply(11, vec![removed(11, "s1")], at(1000));
    assert_eq!(changed.len(), 1);
    assert!(!holds(&listing, "s1") && holds(&listing, "s2"));
}

#[test]
fn lapsed_entry_is_kept_until_its_server_registers_again() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_success(at(5500));
    listing.apply(11, vec![removed(11, "s1")], at(5500));
    assert!(holds(&listing, "s1"));
    listing.apply(12, vec![row(12, "s1")], at(7000));
    assert!(listing.expire(at(60_000)).is_empty());
    assert!(holds(&listing, "s1"));
}

#[test]
fn lapsed_entry_is_dropped_if_its_server_does_not_register_again() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_success(at(5500));
    listing.apply(11, vec![removed(11, "s1")], at(5500));
    assert!(
        listing.expire(at(7000)).is_empty(),
        "it had no time to come back"
    );
    let names = listing.expire(at(5500) + REREGISTER_MAX);
    assert_eq!(names.len(), 1);
    assert!(!holds(&listing, "s1"));
}

#[test]
fn server_that_has_left_is_kept_by_an_instance_whose_calls_failed_alone() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.apply(11, vec![removed(11, "s1")], at(5500));
    assert!(holds(&listing, "s1"), "it may register again");
    // An instance whose calls did not fail knows better.
    listing.apply_update(update(10, 11, vec![removed(11, "s1")]), at(5600));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn disconnected_instance_drops_removed_servers_without_a_further_response() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(12_000), at(12_000));
    listing.record_success(at(13_000));
    listing.replace(90, vec![row(10, "s2")], at(13_000));
    let names = listing.expire(at(13_000) + REREGISTER_MAX);
    assert_eq!(
        names.len(),
        1,
        "no further response of the platform is needed"
    );
}

#[test]
fn removal_long_after_the_start_of_a_failed_call_is_no_lapse() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(9500), at(12_200));
    listing.record_success(at(12_400));
    listing.apply(11, vec![removed(11, "s1")], at(15_100));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn lapsed_entry_is_kept_during_a_second_outage() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_failure(at(5000), at(5000));
    listing.record_success(at(5500));
    listing.apply(11, vec![removed(11, "s1")], at(5500));
    listing.record_failure(at(6000), at(6000));
    assert!(listing.expire(at(9000)).is_empty());
    listing.record_success(at(9500));
    assert!(listing.expire(at(11_000)).is_empty());
    assert_eq!(listing.expire(at(9500) + REREGISTER_MAX).len(), 1);
}

#[test]
fn leaving_server_is_not_kept() {
    let mut listing = listing(&["s1", "s2"]);
    let mut leaving = row(11, "s1");
    let entry = leaving.entry.as_mut().expect("it has an entry");
    entry.server.lifecycle = Lifecycle::Leaving;
    listing.apply(11, vec![leaving], at(1000));
    listing.record_failure(at(2000), at(2000));
    listing.apply(12, vec![removed(12, "s1")], at(2500));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn update_after_a_gap_is_rejected() {
    let mut listing = listing(&["s1"]);
    let applied = listing.apply_update(update(11, 12, vec![removed(12, "s1")]), at(0));
    assert_eq!(applied, Applied::Gap);
    assert!(holds(&listing, "s1"));
    assert_eq!(listing.content_version(), Some(10));
}

#[test]
fn old_update_is_ignored() {
    let mut listing = listing(&["s1"]);
    listing.apply(15, vec![removed(15, "s1")], at(100));
    listing.apply_update(update(10, 12, vec![row(12, "s1")]), at(0));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn update_is_accepted_after_the_sender_read_on_without_changes() {
    let mut sender = listing(&["s1", "s2"]);
    let mut other = listing(&["s1", "s2"]);
    sender.apply(40, Vec::new(), at(100));
    let after = sender.content_version().expect("it has a list");
    let changes = sender.apply(44, vec![removed(43, "s1")], at(200));
    let upto = sender.content_version().expect("it has a list");
    let applied = other.apply_update(update(after, upto, changes), at(0));
    assert_matches!(applied, Applied::Changes { advanced: true, .. });
    assert!(!holds(&other, "s1"));
    assert_eq!(other.content_version(), sender.content_version());
}

#[test]
fn update_counts_only_with_all_its_parts() {
    let mut listing = listing(&["s1", "s2"]);
    let part = |part, name| Update {
        part,
        parts: 2,
        ..update(10, 12, vec![removed(12, name)])
    };
    listing.apply_update(part(1, "s2"), at(0));
    assert_eq!(
        listing.content_version(),
        Some(10),
        "the first part is missing"
    );
    listing.apply_update(part(0, "s1"), at(0));
    assert_eq!(listing.content_version(), Some(12));
    assert!(!holds(&listing, "s1") && !holds(&listing, "s2"));
}

/// A row that is the server's `serial`th.
fn numbered(version: u64, name: &str, serial: u64, lifecycle: Lifecycle) -> RowChange {
    let mut row = row(version, name);
    if let Some(entry) = &mut row.entry {
        entry.serial = serial;
        entry.server.lifecycle = lifecycle;
    }
    row
}

fn lifecycle(listing: &Listing, name: &str) -> Option<Lifecycle> {
    let entry = listing.entries().get(name);
    entry.map(|entry| entry.server.lifecycle)
}

#[test]
fn older_row_of_a_copy_does_not_take_back_that_a_server_is_leaving() {
    let mut listing = listing(&["s"]);
    listing.apply(12, vec![numbered(12, "s", 5, Lifecycle::Leaving)], at(10));
    let changes = listing.replace(20, vec![numbered(18, "s", 4, Lifecycle::Live)], at(20));
    assert!(changes.is_empty());
    assert_eq!(lifecycle(&listing, "s"), Some(Lifecycle::Leaving));
    let mut restarted = numbered(22, "s", 1, Lifecycle::Live);
    restarted.entry.as_mut().expect("it names a server").started = 2;
    listing.apply(22, vec![restarted], at(30));
    assert_eq!(lifecycle(&listing, "s"), Some(Lifecycle::Live));
}

#[test]
fn server_that_has_left_does_not_come_back_with_its_last_row() {
    let mut listing = listing(&["s"]);
    listing.apply(12, vec![removed(12, "s")], at(10));
    listing.replace(20, vec![numbered(18, "s", 1, Lifecycle::Live)], at(20));
    assert!(!holds(&listing, "s"));
    listing.replace(30, vec![numbered(25, "s", 2, Lifecycle::Live)], at(30));
    assert!(holds(&listing, "s"));
}

#[test]
fn server_that_left_long_ago_is_listed_by_any_row() {
    let mut listing = listing(&["s"]);
    listing.apply(12, vec![removed(12, "s")], at(10));
    listing.expire(at(70_000));
    listing.replace(20, vec![numbered(18, "s", 1, Lifecycle::Live)], at(70_000));
    assert!(holds(&listing, "s"));
}

#[test]
fn restarted_server_is_listed_whatever_its_count() {
    let mut listing = listing(&["s"]);
    listing.apply(12, vec![numbered(12, "s", 50, Lifecycle::Leaving)], at(10));
    let mut restarted = numbered(20, "s", 1, Lifecycle::Live);
    restarted
        .entry
        .as_mut()
        .expect("the row names a server")
        .started = 2;
    listing.replace(20, vec![restarted], at(20));
    assert_eq!(lifecycle(&listing, "s"), Some(Lifecycle::Live));
}

/// A part of an update.
fn part(update: Update, part: u32, parts: u32) -> Update {
    Update {
        part,
        parts,
        ..update
    }
}

#[test]
fn parts_of_two_updates_are_counted_together() {
    let mut listing = listing(&["s1", "s2"]);
    let first = update(8, 16, vec![removed(15, "s2")]);
    listing.apply_update(part(first, 2, 3), at(10));
    let second = Update {
        id: 2,
        ..update(10, 16, vec![row(12, "s3")])
    };
    listing.apply_update(part(second, 0, 2), at(20));
    assert_eq!(
        listing.content_version(),
        Some(10),
        "rows of the missing parts are unknown"
    );
}

#[test]
fn late_update_takes_back_that_a_server_is_leaving() {
    let mut listing = listing(&["s1", "s2"]);
    let leaving = numbered(30, "s1", 5, Lifecycle::Leaving);
    listing.apply_update(part(update(10, 30, vec![leaving]), 0, 2), at(10));
    let live = numbered(20, "s1", 4, Lifecycle::Live);
    listing.apply_update(update(10, 20, vec![live]), at(20));
    assert_eq!(lifecycle(&listing, "s1"), Some(Lifecycle::Leaving));
}

#[test]
fn late_update_lists_a_server_that_has_left() {
    let mut listing = listing(&["s1", "s2"]);
    listing.apply_update(part(update(10, 30, vec![removed(30, "s1")]), 0, 2), at(10));
    let live = numbered(20, "s1", 4, Lifecycle::Live);
    listing.apply_update(update(10, 20, vec![live]), at(20));
    assert!(!holds(&listing, "s1"));
}

#[test]
fn late_removal_drops_a_server_that_has_registered_since() {
    let mut listing = listing(&["s1", "s2"]);
    listing.apply(30, vec![numbered(30, "s1", 5, Lifecycle::Live)], at(10));
    let late = update(10, 40, vec![removed(20, "s1")]);
    listing.apply_update(part(late, 0, 2), at(20));
    assert!(holds(&listing, "s1"));
}

#[test]
fn leaving_server_is_used_again_in_the_same_lifetime() {
    let mut listing = listing(&["s"]);
    listing.apply(12, vec![numbered(12, "s", 5, Lifecycle::Leaving)], at(10));
    listing.apply(14, vec![numbered(14, "s", 6, Lifecycle::Live)], at(20));
    assert_eq!(lifecycle(&listing, "s"), Some(Lifecycle::Leaving));
    listing.apply(16, vec![removed(16, "s")], at(30));
    listing.apply(18, vec![numbered(18, "s", 7, Lifecycle::Live)], at(40));
    assert_ne!(lifecycle(&listing, "s"), Some(Lifecycle::Live));
}

#[test]
fn lists_that_differ_after_a_lapse_have_the_same_digest() {
    let mut sender = listing(&["s1", "s2"]);
    let mut other = sender.clone();
    sender.record_failure(at(100), at(100));
    let changes = vec![removed(11, "s1"), row(12, "s3"), row(14, "s4")];
    let changes = sender.apply(14, changes, at(200));
    other.apply_update(update(10, 14, changes), at(210));
    let lost = sender.expire(at(200) + REREGISTER_MAX);
    assert_eq!(lost.len(), 1);
    assert_eq!(sender.content_version(), other.content_version());
    assert_ne!(sender.digest(), other.digest());
}

#[test]
fn statement_of_a_process_that_is_not_listed_yet_frees_the_server() {
    let mut listing = listing(&["s1"]);
    let lifecycle = |listing: &Listing| listing.servers().next().map(|(_, lifecycle)| lifecycle);
    assert!(listing.record_leaving(&"s1".into(), 1, at(100)));
    assert_eq!(lifecycle(&listing), Some(Lifecycle::Leaving));
    // It has started again and still leaves, and the row that says so is late.
    assert!(listing.record_leaving(&"s1".into(), 2, at(200)));
    assert_eq!(lifecycle(&listing), Some(Lifecycle::Leaving));
}

/// Servers that are in use.
fn in_use(listing: &Listing) -> Vec<&str> {
    let live = listing.servers();
    let live = live.filter(|(_, lifecycle)| *lifecycle == Lifecycle::Live);
    live.map(|(entry, _)| &*entry.server.name).collect()
}

/// Time for which a server whose row was removed is used without a response.
const PROOF_TIME: Duration = Duration::from_millis(400);

/// A list of which `lost` servers lapse at 5500 ms.
fn lapsed(names: &[&str], lost: &[&str]) -> Listing {
    let mut listing = Listing::new(PROOF_TIME);
    listing.replace(10, names.iter().map(|name| row(10, name)).collect(), at(0));
    listing.record_failure(at(5000), at(5000));
    listing.record_success(at(5500));
    let rows = lost.iter().map(|name| removed(11, name));
    listing.apply(11, rows.collect(), at(5500));
    assert!(
        !listing.update_doubts(at(5500)),
        "they had no time to respond"
    );
    listing
}

/// An instance whose calls failed alone must not use a server that has left (review/2).
#[test]
fn silent_server_whose_row_was_removed_is_used() {
    let mut listing = lapsed(&["s1", "s2"], &["s1"]);
    assert_eq!(in_use(&listing), ["s1", "s2"]);
    assert!(listing.update_doubts(at(5500) + PROOF_TIME));
    assert_eq!(in_use(&listing), ["s2"]);
    listing.apply(12, vec![row(12, "s1")], at(7000));
    listing.update_doubts(at(7000));
    assert_eq!(in_use(&listing), ["s1", "s2"]);
}

/// Another instance may be the first to see that a row is there again.
#[test]
fn server_whose_row_another_instance_has_seen_again_stays_set_aside() {
    let mut listing = lapsed(&["s1", "s2"], &["s1"]);
    listing.update_doubts(at(6000));
    assert_eq!(in_use(&listing), ["s2"]);
    listing.apply_update(update(10, 12, vec![row(12, "s1")]), at(6500));
    listing.update_doubts(at(6500));
    assert_eq!(in_use(&listing), ["s1", "s2"]);
}

#[test]
fn server_that_responds_is_set_aside_after_an_outage() {
    let mut listing = lapsed(&["s1", "s2"], &["s1"]);
    assert!(
        !listing.record_response("s1", at(5400)),
        "sent before the removal was read"
    );
    assert!(listing.record_response("s1", at(5600)));
    listing.update_doubts(at(5500) + 2 * PROOF_TIME);
    assert_eq!(in_use(&listing), ["s1", "s2"]);
    assert_eq!(listing.expire(at(5500) + REREGISTER_MAX).len(), 1);
}

/// A list of 3 or of 300 servers that lapse together.
#[test]
fn all_servers_of_a_service_are_set_aside_after_an_outage() {
    for count in [3, 300] {
        let names: Vec<String> = (0..count).map(|index| format!("s{index:03}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut listing = lapsed(&names, &names);
        listing.update_doubts(at(5500) + PROOF_TIME);
        assert_eq!(in_use(&listing).len(), count);
    }
}

#[test]
fn lapsed_servers_are_dropped_without_a_last_look() {
    let mut listing = lapsed(&["s1", "s2"], &["s1"]);
    assert!(!listing.recheck_due(at(6500)));
    assert!(listing.recheck_due(at(7700)));
    assert!(!listing.recheck_due(at(7700)), "one look is enough");
    assert!(listing.expire(at(7700)).is_empty());
}

/// The row of a process that started at `started`.
fn started(version: u64, name: &str, started: u64) -> RowChange {
    let mut row = row(version, name);
    row.entry.as_mut().expect("it names a server").started = started;
    row
}

/// A response does not name its process: it may be one whose row comes late (review/3).
#[test]
fn row_of_a_later_process_frees_a_leaving_server() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_leaving(&"s1".into(), 1, at(100));
    listing.apply(11, vec![started(11, "s1", 2)], at(3000));
    listing.update_doubts(at(3000));
    assert_eq!(in_use(&listing), ["s2"]);
    // The process that is listed now says so when it is asked.
    listing.record_leaving(&"s1".into(), 2, at(3100));
    listing.update_doubts(at(60_000));
    assert_eq!(in_use(&listing), ["s2"]);
}

#[test]
fn later_process_that_does_not_leave_is_set_aside_for_long() {
    let mut listing = listing(&["s1", "s2"]);
    listing.record_leaving(&"s1".into(), 1, at(100));
    listing.apply(11, vec![started(11, "s1", 2)], at(3000));
    listing.record_response("s1", at(3010));
    listing.update_doubts(at(3050));
    assert_eq!(in_use(&listing), ["s1", "s2"]);
    // Without a response, it is used after a while.
    listing.apply(12, vec![started(12, "s1", 3)], at(9000));
    listing.update_doubts(at(9000));
    assert_eq!(in_use(&listing), ["s2"]);
    listing.update_doubts(at(11_500));
    assert_eq!(in_use(&listing), ["s1", "s2"]);
}

/// A report of another instance on a process before comes after the row of the new one.
#[test]
fn late_report_frees_or_holds_a_server_without_a_question() {
    let mut listing = listing(&["s1", "s2"]);
    listing.apply(11, vec![started(11, "s1", 2)], at(1000));
    listing.record_leaving(&"s1".into(), 1, at(1100));
    listing.update_doubts(at(1100));
    assert_eq!(in_use(&listing), ["s2"]);
    assert_eq!(listing.doubted().count(), 1);
    listing.record_response("s1", at(1110));
    listing.update_doubts(at(1120));
    assert_eq!(in_use(&listing), ["s1", "s2"]);
}

/// The start of a process does not order it: its clock may have been set back (review/4).
#[test]
fn row_of_a_process_whose_clock_was_set_back_is_dropped() {
    let mut listing = listing(&["s1", "s2"]);
    listing.apply(11, vec![started(11, "s1", 2000)], at(100));
    listing.apply(12, vec![started(12, "s1", 1200)], at(200));
    assert_eq!(listing.lifetime("s1"), Some(1200));
    let mut leaving = started(13, "s1", 1200);
    let entry = leaving.entry.as_mut().expect("it has an entry");
    entry.server.lifecycle = Lifecycle::Leaving;
    listing.apply(13, vec![leaving], at(300));
    assert_eq!(in_use(&listing), ["s2"]);
}

/// In another era versions don't tell: the row may be one of an older copy of the platform.
#[test]
fn row_of_an_earlier_process_in_an_older_copy_is_listed() {
    let mut listing = listing(&["s1", "s2"]);
    listing.apply(12, vec![started(12, "s1", 2000)], at(100));
    let copy = (1 << ERA_SHIFT) | 11;
    listing.apply(copy, vec![started(copy, "s1", 1200)], at(200));
    assert_eq!(listing.lifetime("s1"), Some(2000));
}
