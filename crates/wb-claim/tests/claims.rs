//! Tickets, records and passed work.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use wb_claim::BeginOutcome;
use wb_claim::Completion;
use wb_claim::ExecutionStatus;
use wb_claim::ForwardedRequests;
use wb_claim::Options;
use wb_claim::StoredResponse;
use wb_claim::Ticket;
use wb_claim::TicketStore;

fn claims() -> TicketStore {
    TicketStore::new(Options {
        instance: "entry-1".into(),
        incarnation: 7,
        ttl: Duration::from_secs(600),
        max_records: 3,
        max_bytes: 10,
        seed: 1,
    })
}

fn answer(body: &'static str) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(body),
    }
}

const T0: Duration = Duration::ZERO;

/// Names a test for each text that is, or is not, a ticket.
macro_rules! texts {
    ($($name:ident: $text:literal => $is:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let parsed: Result<Ticket, _> = $text.parse();
                assert_eq!(parsed.is_ok(), $is);
                if let Ok(ticket) = parsed {
                    assert_eq!(ticket.to_string(), $text);
                }
            }
        )*
    };
}

texts! {
    a_ticket: "wt1.entry-1.1f.2.abc" => true,
    own_key: "my-order-17" => false,
    too_short: "wt1.entry-1.1f.2" => false,
    too_long: "wt1.entry-1.1f.2.abc.d" => false,
    no_issuer: "wt1..1f.2.abc" => false,
    signed_number: "wt1.entry-1.+f.2.abc" => false,
    other_prefix: "wt2.entry-1.1f.2.abc" => false,
}

#[test]
fn finished_work_is_replayed() {
    let mut claims = claims();
    let ticket = claims.issue(&"c".into(), T0).expect("there is room");
    assert_eq!(claims.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Run);
    assert_eq!(
        claims.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::InProgress
    );
    claims.finish(&ticket, Completion::Done(Some(answer("ok"))), T0);
    assert_matches!(claims.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Replay(kept) if kept.body == "ok");
}

#[test]
fn not_run_work_can_run_again_and_lost_work_cannot() {
    let mut claims = claims();
    let ticket = claims.issue(&"c".into(), T0).expect("there is room");
    claims.begin(&ticket, "c", "POST /a", T0);
    claims.finish(&ticket, Completion::NotRun, T0);
    assert_eq!(claims.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Run);
    claims.finish(&ticket, Completion::Unknown, T0);
    assert_eq!(
        claims.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::Unknown
    );
}

#[test]
fn a_ticket_is_for_one_caller_and_one_request() {
    let mut claims = claims();
    let ticket = claims.issue(&"c".into(), T0).expect("there is room");
    assert_eq!(
        claims.begin(&ticket, "d", "POST /a", T0),
        BeginOutcome::Mismatch
    );
    claims.begin(&ticket, "c", "POST /a", T0);
    assert_eq!(
        claims.begin(&ticket, "c", "POST /b", T0),
        BeginOutcome::Mismatch
    );
}

#[test]
fn records_are_bounded_and_expire() {
    let mut claims = claims();
    let first = claims.issue(&"c".into(), T0).expect("there is room");
    claims.issue(&"c".into(), T0);
    claims.issue(&"c".into(), T0);
    assert_eq!(claims.issue(&"c".into(), T0), None);
    claims.begin(&first, "c", "POST /a", T0);
    let later = Duration::from_secs(601);
    assert!(claims.issue(&"c".into(), later).is_some());
    // Running work is never forgotten, so it can't begin again.
    assert_eq!(
        claims.begin(&first, "c", "POST /a", later),
        BeginOutcome::InProgress
    );
}

#[test]
fn answers_are_kept_within_a_bound() {
    let mut claims = claims();
    let ticket = claims.issue(&"c".into(), T0).expect("there is room");
    claims.begin(&ticket, "c", "POST /a", T0);
    claims.finish(&ticket, Completion::Done(Some(answer("far too long"))), T0);
    assert_eq!(
        claims.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::ResponseNotKept
    );
}

#[test]
fn passed_work_that_was_settled_first_never_begins() {
    let mut passed = ForwardedRequests::default();
    assert_eq!(passed.settle(&"r1".into(), T0), ExecutionStatus::NotRun);
    assert!(!passed.begin(&"r1".into(), T0));
    assert!(passed.begin(&"r2".into(), T0));
    assert_eq!(passed.settle(&"r2".into(), T0), ExecutionStatus::Running);
    passed.end(&"r2".into(), ExecutionStatus::Ran(None), T0);
    assert_eq!(passed.settle(&"r2".into(), T0), ExecutionStatus::Ran(None));
    assert!(!passed.begin(&"r2".into(), T0));
}

#[test]
fn a_process_that_leaves_begins_and_issues_nothing_more() {
    let mut claims = claims();
    let ticket = claims.issue(&"c".into(), T0).expect("there is room");
    claims.close();
    assert_eq!(
        claims.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::Missing
    );
    assert_eq!(claims.issue(&"c".into(), T0), None);
}
