//! Ticket texts, ticket records and forwarded requests.

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

fn store() -> TicketStore {
    TicketStore::new(Options {
        instance: "entry-1".into(),
        incarnation: 7,
        ttl: Duration::from_secs(600),
        max_records: 3,
        max_bytes: 10,
        seed: 1,
    })
}

fn response(body: &'static str) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(body),
    }
}

const T0: Duration = Duration::ZERO;

/// Generates a test for each text that is or is not a valid ticket.
macro_rules! ticket_texts {
    ($($name:ident: $text:literal => $valid:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let parsed: Result<Ticket, _> = $text.parse();
                assert_eq!(parsed.is_ok(), $valid);
                if let Ok(ticket) = parsed {
                    assert_eq!(ticket.to_string(), $text);
                }
            }
        )*
    };
}

ticket_texts! {
    valid_ticket: "wt1.entry-1.1f.2.abc" => true,
    key_of_the_caller: "my-order-17" => false,
    missing_nonce: "wt1.entry-1.1f.2" => false,
    extra_part: "wt1.entry-1.1f.2.abc.d" => false,
    empty_issuer: "wt1..1f.2.abc" => false,
    signed_number: "wt1.entry-1.+f.2.abc" => false,
    unknown_prefix: "wt2.entry-1.1f.2.abc" => false,
}

#[test]
fn response_of_a_finished_request_is_replayed() {
    let mut store = store();
    let ticket = store.issue(&"c".into(), T0).expect("the store has room");
    assert_eq!(store.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Run);
    assert_eq!(
        store.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::InProgress
    );
    store.finish(&ticket, Completion::Done(Some(response("ok"))), T0);
    assert_matches!(store.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Replay(kept) if kept.body == "ok");
}

#[test]
fn request_that_was_not_run_can_run_again_and_one_with_unknown_outcome_cannot() {
    let mut store = store();
    let ticket = store.issue(&"c".into(), T0).expect("the store has room");
    store.begin(&ticket, "c", "POST /a", T0);
    store.finish(&ticket, Completion::NotRun, T0);
    assert_eq!(store.begin(&ticket, "c", "POST /a", T0), BeginOutcome::Run);
    store.finish(&ticket, Completion::Unknown, T0);
    assert_eq!(
        store.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::Unknown
    );
}

#[test]
fn ticket_is_valid_for_one_caller_and_one_request() {
    let mut store = store();
    let ticket = store.issue(&"c".into(), T0).expect("the store has room");
    assert_eq!(
        store.begin(&ticket, "d", "POST /a", T0),
        BeginOutcome::Mismatch
    );
    store.begin(&ticket, "c", "POST /a", T0);
    assert_eq!(
        store.begin(&ticket, "c", "POST /b", T0),
        BeginOutcome::Mismatch
    );
}

#[test]
fn records_are_bounded_and_expire() {
    let mut store = store();
    let first = store.issue(&"c".into(), T0).expect("the store has room");
    store.issue(&"c".into(), T0);
    store.issue(&"c".into(), T0);
    assert_eq!(store.issue(&"c".into(), T0), None);
    store.begin(&first, "c", "POST /a", T0);
    let later = Duration::from_secs(601);
    assert!(store.issue(&"c".into(), later).is_some());
    // The record of a running request never expires, so that the request can't begin again.
    assert_eq!(
        store.begin(&first, "c", "POST /a", later),
        BeginOutcome::InProgress
    );
}

#[test]
fn stored_responses_are_bounded_in_size() {
    let mut store = store();
    let ticket = store.issue(&"c".into(), T0).expect("the store has room");
    store.begin(&ticket, "c", "POST /a", T0);
    store.finish(
        &ticket,
        Completion::Done(Some(response("far too long"))),
        T0,
    );
    assert_eq!(
        store.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::ResponseNotKept
    );
}

#[test]
fn forwarded_request_that_was_settled_before_it_arrived_never_begins() {
    let mut forwarded = ForwardedRequests::default();
    assert_eq!(forwarded.settle(&"r1".into(), T0), ExecutionStatus::NotRun);
    assert!(!forwarded.begin(&"r1".into(), T0));
    assert!(forwarded.begin(&"r2".into(), T0));
    assert_eq!(forwarded.settle(&"r2".into(), T0), ExecutionStatus::Running);
    forwarded.finish(&"r2".into(), ExecutionStatus::Ran(None), T0);
    assert_eq!(
        forwarded.settle(&"r2".into(), T0),
        ExecutionStatus::Ran(None)
    );
    assert!(!forwarded.begin(&"r2".into(), T0));
}

#[test]
fn closed_store_issues_no_ticket_and_begins_no_request() {
    let mut store = store();
    let ticket = store.issue(&"c".into(), T0).expect("the store has room");
    store.close();
    assert_eq!(
        store.begin(&ticket, "c", "POST /a", T0),
        BeginOutcome::Missing
    );
    assert_eq!(store.issue(&"c".into(), T0), None);
}
