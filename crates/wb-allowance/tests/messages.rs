//! Messages that come late, twice or for another process.

use std::time::Duration;

use wb_allowance::Credit;
use wb_allowance::Lease;
use wb_allowance::Ledger;
use wb_allowance::Offer;
use wb_allowance::Refusal;
use wb_allowance::Tolerance;
use wb_allowance::Verdict;
use wb_allowance::hold_time;
use wb_allowance::lease_time;
use wb_allowance::ledger::Identity;
use wb_team::Allowance;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::TeamName;

const MILLISECOND: Duration = Duration::from_millis(1);
/// A moment at which the processes have run for some time.
const NOW: Moment = Duration::from_secs(100);

/// A ledger of a fleet of four instances, with two homes `a` and `b`, of a process that runs for some
/// time.
fn ledger(name: &str, incarnation: u64) -> Ledger {
    started(name, incarnation, NOW - Duration::from_secs(20))
}

/// The same, of a process that started at the given time.
fn started(name: &str, incarnation: u64, start: Moment) -> Ledger {
    let identity = Identity {
        name: name.into(),
        incarnation,
        first_start: false,
    };
    let tolerance = Tolerance {
        window: Duration::from_secs(5),
        overshoot: 0.1,
        extra: 20.0,
    };
    let mut ledger = Ledger::new(identity, tolerance, start);
    let team: TeamName = "team".into();
    let allowance = Allowance {
        rate: 10.0,
        burst: 10.0,
    };
    ledger.set_teams([(&team, allowance)].into_iter(), start);
    let names = ["a", "b", "c", "d"].map(InstanceName::from);
    ledger.set_fleet(names.to_vec(), &names[..2], start);
    ledger
}

fn offer(from: &str, incarnation: u64, sent: Moment) -> Offer {
    Offer {
        from: from.into(),
        incarnation,
        sent,
        lasts: lease_time(4),
    }
}

fn lease(holder: u64, sent: Moment) -> Lease {
    Lease {
        from: "c".into(),
        incarnation: 1,
        holder,
        sent,
        lasts: lease_time(4),
        part: 0.25,
        is_leased: true,
        credit: Credit::None,
    }
}

macro_rules! leases {
    ($($name:ident: $lease:expr, at $now:expr => $held:literal;)+) => {$(
        #[test]
        fn $name() {
            let mut home = ledger("a", 1);
            home.handle_lease(&$lease, $now);
            assert_eq!(home.part() > 0.0, $held);
        }
    )+};
}

leases! {
    a_lease_counts: lease(1, NOW), at NOW + MILLISECOND => true;
    a_late_lease_does_not_count: lease(1, NOW), at NOW + lease_time(4) => false;
    a_lease_for_a_former_process_does_not_count: lease(7, NOW), at NOW + MILLISECOND => false;
    a_lease_for_an_offer_that_was_not_sent_does_not_count: lease(1, NOW + MILLISECOND), at NOW => false;
}

#[test]
fn a_lease_ends_by_the_time_of_the_offer() {
    let mut home = ledger("a", 1);
    home.handle_lease(&lease(1, NOW), NOW + lease_time(4) - MILLISECOND);
    assert!(home.part() > 0.0);
    home.levels(NOW + lease_time(4)).count();
    assert_eq!(home.part(), 0.0);
}

#[test]
fn a_part_is_given_to_one_home_at_a_time() {
    let mut instance = ledger("c", 1);
    assert!(instance.handle_offer(&offer("a", 1, NOW), NOW).is_some());
    let before = NOW + hold_time(lease_time(4)) - MILLISECOND;
    assert!(instance.handle_offer(&offer("b", 1, NOW), before).is_none());
    assert!(
        instance
            .handle_offer(&offer("b", 1, NOW), NOW + hold_time(lease_time(4)))
            .is_some()
    );
}

#[test]
fn a_home_that_was_restarted_gets_its_lease_back_at_once() {
    let mut instance = ledger("c", 1);
    let first = instance.handle_offer(&offer("a", 1, NOW), NOW);
    assert_eq!(first.map(|lease| lease.credit), Some(Credit::Start));
    let again = instance.handle_offer(&offer("a", 2, NOW), NOW + MILLISECOND);
    assert_eq!(again.map(|lease| lease.credit), Some(Credit::None));
}

#[test]
fn a_process_gives_no_lease_while_one_of_the_former_process_may_run() {
    let identity = Identity {
        name: "c".into(),
        incarnation: 2,
        first_start: false,
    };
    let mut instance = Ledger::new(identity, Tolerance::default(), NOW);
    let names = ["a", "b", "c", "d"].map(InstanceName::from);
    instance.set_fleet(names.to_vec(), &names[..2], NOW);
    let before = NOW + hold_time(lease_time(4)) - MILLISECOND;
    let early = instance.handle_offer(&offer("a", 1, NOW), before);
    assert_eq!(early.map(|lease| lease.is_leased), Some(false));
    let later = instance.handle_offer(&offer("a", 1, NOW), NOW + hold_time(lease_time(4)));
    assert_eq!(later.map(|lease| lease.is_leased), Some(true));
}

#[test]
fn requests_wait_for_the_first_leases_of_a_process() {
    let mut home = started("a", 1, NOW);
    let limit = NOW + Duration::from_millis(400);
    assert_eq!(home.admit("team", NOW), Verdict::Wait(limit));
    let verdict = home.decide("team", limit, limit - MILLISECOND);
    assert_eq!(verdict, Verdict::Wait(limit));
    let verdict = home.decide("team", limit, limit);
    assert!(matches!(verdict, Verdict::Refused(_)));
}

#[test]
fn the_credit_of_a_process_counts_before_its_part_and_once() {
    let mut home = ledger("a", 1);
    let early = Lease {
        is_leased: false,
        credit: Credit::Start,
        ..lease(1, NOW)
    };
    home.handle_lease(&early, NOW + MILLISECOND);
    assert_eq!(home.part(), 0.0);
    let credit = home
        .levels(NOW + MILLISECOND)
        .next()
        .map(|(_, level)| level);
    assert!(credit > Some(0.0));
    let leased = Lease {
        credit: Credit::Start,
        ..lease(1, NOW)
    };
    home.handle_lease(&leased, NOW + MILLISECOND);
    assert!(home.part() > 0.0);
    let again = home
        .levels(NOW + MILLISECOND)
        .next()
        .map(|(_, level)| level);
    assert_eq!(again, credit);
}

#[test]
fn an_instance_that_knows_no_others_owns_nothing() {
    let identity = Identity {
        name: "c".into(),
        incarnation: 1,
        first_start: true,
    };
    let mut instance = Ledger::new(identity, Tolerance::default(), NOW);
    assert!(instance.handle_offer(&offer("a", 1, NOW), NOW).is_none());
}

/// A home without tokens that has asked the other one for some, and what the other has granted.
fn asked() -> (Ledger, wb_allowance::Grant) {
    let mut lender = ledger("b", 1);
    lender.tick(NOW);
    let later = NOW + Duration::from_millis(900);
    let mut home = ledger("a", 1);
    assert!(matches!(home.admit("team", later), Verdict::Wait(_)));
    let (to, question) = home.take_questions().pop().expect("a question was sent");
    assert_eq!(&*to, "b");
    let grant = lender.handle_question(&question, later);
    assert!(grant.granted[0].1 > 0.0);
    (home, grant)
}

fn level(home: &mut Ledger, now: Moment) -> f64 {
    home.levels(now).map(|(_, level)| level).sum()
}

#[test]
fn a_grant_counts_once() {
    let (mut home, grant) = asked();
    let now = NOW + Duration::from_millis(902);
    assert!(home.handle_grant(&grant, now));
    let once = level(&mut home, now);
    assert!(once > 0.0);
    assert!(!home.handle_grant(&grant, now));
    assert_eq!(level(&mut home, now), once);
}

#[test]
fn a_late_grant_does_not_count() {
    let (mut home, grant) = asked();
    assert!(!home.handle_grant(&grant, NOW + Duration::from_secs(2)));
}

#[test]
fn a_grant_for_a_former_process_does_not_count() {
    let (_, grant) = asked();
    let mut home = ledger("a", 2);
    home.admit("team", NOW + Duration::from_millis(900));
    assert!(!home.handle_grant(&grant, NOW + Duration::from_millis(902)));
}

#[test]
fn a_token_that_was_not_used_is_given_back_for_a_moment_only() {
    let mut home = ledger("a", 1);
    home.tick(NOW);
    let taken = NOW + Duration::from_millis(300);
    assert_eq!(home.admit("team", taken), Verdict::Admitted);
    let after = level(&mut home, taken);
    home.give_back("team", taken, taken);
    assert_eq!(level(&mut home, taken), after + 1.0);
    let mut home = ledger("a", 1);
    home.tick(NOW);
    assert_eq!(home.admit("team", taken), Verdict::Admitted);
    let late = taken + Duration::from_millis(300);
    let before = level(&mut home, late);
    home.give_back("team", taken, late);
    assert_eq!(level(&mut home, late), before);
}

/// What an instance that is no home, and holds nothing, says to requests after homes of the given start
/// have answered that they have no tokens.
fn refusals_after_answers(homes_start: Moment) -> Vec<Refusal> {
    let mut instance = ledger("c", 1);
    let now = NOW;
    let Verdict::Wait(until) = instance.admit("team", now) else {
        panic!("the instance has no tokens");
    };
    for (to, mut question) in instance.take_questions() {
        let mut home = started("a", 1, homes_start);
        home.tick(now);
        question.wanted.clear();
        question.wanted.push(("team".into(), 0.0));
        let mut grant = home.handle_question(&question, now);
        grant.from = to;
        instance.handle_grant(&grant, now);
    }
    let decide = |_| match instance.decide("team", until, until) {
        Verdict::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    };
    (0..2).map(decide).collect()
}

#[test]
fn an_instance_without_parts_names_the_time_of_a_home() {
    let refusals = refusals_after_answers(NOW - Duration::from_secs(20));
    assert!(refusals.iter().all(|one| one.is_over));
    // A home has half of ten requests a second.
    assert_eq!(refusals[0].retry_after, Duration::from_millis(200));
    assert_eq!(refusals[1].retry_after, Duration::from_millis(400));
}

#[test]
fn homes_that_have_just_started_don_t_show_that_a_team_is_over() {
    let refusals = refusals_after_answers(NOW);
    assert!(refusals.iter().all(|one| !one.is_over));
}
