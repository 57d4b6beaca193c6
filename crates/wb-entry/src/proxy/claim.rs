//! Tickets around work that must not repeat.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Response;
use http::request::Parts;
use wb_claim::BeginOutcome;
use wb_claim::Completion;
use wb_claim::ExecutionStatus;
use wb_claim::Handover;
use wb_claim::StoredResponse;
use wb_claim::Ticket;
use wb_event::Event;
use wb_event::emit;
use wb_http::Body;
use wb_http::RequestBody;
use wb_platform::ClaimResult;
use wb_types::outcome::Outcome;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::intake::Intake;
use super::intake::Key;
use super::payload::Upload;
use super::response;
use super::run::Run;
use crate::Context;
use crate::service;

/// Longest wait for the holder of a ticket.
const ASK: Duration = Duration::from_millis(500);
/// Instances that are asked for a ticket whose issuer has left.
const HEIRS: usize = 3;
/// Instances that are asked for one ticket at most.
const ASKS_MAX: usize = 6;

/// What ends the record of work when it is dropped.
enum Record {
    /// Nothing is recorded.
    None,
    /// A ticket that this process holds.
    Ticket(Ticket),
    /// Work that another instance passed on.
    Passed,
    /// A claim in the platform's table.
    Claim(String),
}

/// Ends a record, whatever becomes of the work.
struct Keeper {
    context: Arc<Context>,
    intake: Arc<Intake>,
    record: Record,
    handed: Arc<AtomicBool>,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let end = if self.handed.load(Ordering::Relaxed) {
            Completion::Unknown
        } else {
            Completion::NotRun
        };
        self.end(end);
    }
}

impl Keeper {
    fn end(&mut self, end: Completion) {
        let now = self.context.clock.now();
        match std::mem::replace(&mut self.record, Record::None) {
            Record::None => {}
            Record::Ticket(ticket) => {
                let mut claims = self.context.claims.lock().expect("no holder panics");
                claims.finish(&ticket, end, now);
            }
            Record::Passed => {
                let mut passed = self.context.passed.lock().expect("no holder panics");
                passed.end(&self.intake.id, fate(end), now);
            }
            Record::Claim(key) => settle_claim(&self.context, key, end),
        }
    }
}

fn fate(end: Completion) -> ExecutionStatus {
    match end {
        Completion::Done(answer) => ExecutionStatus::Ran(answer),
        Completion::NotRun => ExecutionStatus::NotRun,
        Completion::Unknown => ExecutionStatus::Unknown,
    }
}

/// Stores the outcome of claimed work, behind the path.
fn settle_claim(context: &Arc<Context>, key: String, end: Completion) {
    let Completion::Done(Some(answer)) = end else {
        return;
    };
    let platform = context.platform.clone();
    tokio::spawn(async move {
        if let Ok(text) = serde_json::to_string(&answer) {
            let _ = platform.update_claim(&key, &text).await;
        }
    });
}

/// Runs a request under its ticket, claim or other record, if it has one.
///
/// # Errors
///
/// The refusal that the caller is told.
pub async fn guard(
    context: &Arc<Context>,
    intake: &Arc<Intake>,
    parts: Parts,
    body: RequestBody,
) -> Result<Response<Body>, Refusal> {
    let began = Instant::now();
    let record = match open(context, intake).await {
        Ok(record) => record,
        Err(Ended::Answer(answer)) => return Ok(response::from_stored(&answer)),
        Err(Ended::Refusal(refusal)) => return Err(refusal),
    };
    let handed = Arc::new(AtomicBool::new(false));
    let keeper = Keeper {
        context: context.clone(),
        intake: intake.clone(),
        record,
        handed: handed.clone(),
    };
    let actor = service::find(context, &intake.row.service).await;
    let actor = actor.ok_or(Refusal::not_run(Reason::NoCapacity))?;
    let idle = context.settings.limits.idle_timeout;
    let upload = Upload::take(body, intake.size, idle).await?;
    let run = Run {
        context: context.clone(),
        intake: intake.clone(),
        parts,
        upload,
        actor,
        kept: None,
        maybe: false,
        handed,
        began,
    };
    if intake.idempotent {
        return conclude(run, keeper).await;
    }
    // A caller that goes away does not cancel work that must not repeat.
    let detached = tokio::spawn(conclude(run, keeper));
    detached
        .await
        .unwrap_or(Err(Refusal::unknown(Reason::BrokenAnswer)))
}

async fn conclude(mut run: Run, mut keeper: Keeper) -> Result<Response<Body>, Refusal> {
    let result = run.go().await;
    let end = match &result {
        Ok(response) => Completion::Done(run.kept.take().map(|bytes| {
            let headers = response.headers();
            response::to_stored(response.status(), headers, bytes)
        })),
        Err(refusal) if refusal.outcome == Outcome::NotRun => Completion::NotRun,
        Err(_) => Completion::Unknown,
    };
    keeper.end(end);
    result
}

/// Work that ends before it begins.
enum Ended {
    /// It was run before.
    Answer(StoredResponse),
    /// It is refused.
    Refusal(Refusal),
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

/// Opens the record that a request needs.
async fn open(context: &Arc<Context>, intake: &Intake) -> Result<Record, Ended> {
    if intake.idempotent {
        return Ok(Record::None);
    }
    if intake.passed {
        let now = context.clock.now();
        let mut passed = context.passed.lock().expect("no holder panics");
        return if passed.begin(&intake.id, now) {
            Ok(Record::Passed)
        } else {
            Err(Refusal::unknown(Reason::InProgress).into())
        };
    }
    match &intake.key {
        None => Ok(Record::None),
        Some(Key::Ticket(ticket)) => open_ticket(context, intake, ticket).await,
        Some(Key::Own(key)) => open_claim(context, intake, key).await,
    }
}

async fn open_ticket(
    context: &Arc<Context>,
    intake: &Intake,
    ticket: &Ticket,
) -> Result<Record, Ended> {
    match begin(context, intake, ticket) {
        BeginOutcome::Run => Ok(Record::Ticket(ticket.clone())),
        BeginOutcome::AskIssuer(_) => {
            ask_holders(context, ticket).await?;
            match begin(context, intake, ticket) {
                BeginOutcome::Run => Ok(Record::Ticket(ticket.clone())),
                other => Err(ended(other)),
            }
        }
        BeginOutcome::Moved(name) => {
            let reason = format!("holder={name}");
            emit!(Event::TicketSettled, "ticket={ticket} {reason}");
            Err(Refusal::unknown(Reason::HolderGone).into())
        }
        other => Err(ended(other)),
    }
}

fn begin(context: &Context, intake: &Intake, ticket: &Ticket) -> BeginOutcome {
    let now = context.clock.now();
    let mut claims = context.claims.lock().expect("no holder panics");
    claims.begin(ticket, &intake.caller, &intake.target, now)
}

fn ended(begin: BeginOutcome) -> Ended {
    match begin {
        BeginOutcome::Replay(answer) => Ended::Answer(answer),
        BeginOutcome::ResponseNotKept => Refusal::unknown(Reason::BrokenAnswer).into(),
        BeginOutcome::InProgress => Refusal::unknown(Reason::InProgress).into(),
        BeginOutcome::Mismatch => Refusal::not_run(Reason::BadRequest).into(),
        BeginOutcome::Missing => Refusal::unknown(Reason::UnknownTicket).into(),
        _ => Refusal::unknown(Reason::HolderGone).into(),
    }
}

/// Asks the issuer of a ticket, or those that may have its records, to hand it over.
async fn ask_holders(context: &Arc<Context>, ticket: &Ticket) -> Result<(), Ended> {
    let holder = context.holder();
    let mut targets = holders(context, ticket);
    for _ in 0..ASKS_MAX {
        let Some(target) = targets.pop_front() else {
            break;
        };
        let asked = context.peers.take(target, ticket, &holder, ASK).await;
        let Ok(handover) = asked else {
            continue;
        };
        match handover {
            Handover::Granted(record) => {
                let now = context.clock.now();
                let mut claims = context.claims.lock().expect("no holder panics");
                claims.import(record, now);
                return Ok(());
            }
            Handover::Ran(Some(answer)) => return Err(Ended::Answer(answer)),
            Handover::Ran(None) => return Err(Refusal::unknown(Reason::BrokenAnswer).into()),
            Handover::InProgress => return Err(Refusal::unknown(Reason::InProgress).into()),
            Handover::Unknown => return Err(Refusal::unknown(Reason::HolderGone).into()),
            Handover::Moved(name) => {
                let view = context.view();
                let next = view.live.iter().find(|other| other.name == name);
                targets.extend(next.map(|next| next.peers));
            }
            Handover::Missing => {}
        }
    }
    Err(Refusal::unknown(Reason::HolderGone).into())
}

/// Peer addresses to ask for a ticket: the issuer, then the likely heirs.
fn holders(context: &Context, ticket: &Ticket) -> VecDeque<SocketAddr> {
    let view = context.view();
    let issuer = view.live.iter().find(|other| other.name == ticket.issuer);
    let mut targets: VecDeque<_> = issuer.map(|issuer| issuer.peers).into_iter().collect();
    let heirs = wb_members::placement::successors(&ticket.issuer, &view.live, HEIRS);
    let me = context.me();
    let others = heirs.into_iter().filter(|heir| heir.name != *me);
    targets.extend(others.map(|heir| heir.peers));
    targets
}

/// Claims a key that the caller made up in the platform's table.
async fn open_claim(context: &Arc<Context>, intake: &Intake, key: &str) -> Result<Record, Ended> {
    let digest = wb_record::Batch::digest(&format!("{}\n{key}", intake.caller));
    let mark = format!("running {}", intake.id);
    match context.platform.claim(&digest, &mark).await {
        Ok(ClaimResult::Acquired) => Ok(Record::Claim(digest)),
        Ok(ClaimResult::HeldByOther(text)) => match serde_json::from_str(&text) {
            Ok(answer) => Err(Ended::Answer(answer)),
            Err(_) => Err(Refusal::unknown(Reason::InProgress).into()),
        },
        Err(_) => Err(Refusal::not_run(Reason::PlatformDown).into()),
    }
}
