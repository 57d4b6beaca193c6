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
use wb_claim::Answer;
use wb_claim::Begin;
use wb_claim::End;
use wb_claim::Fate;
use wb_claim::Handover;
use wb_claim::Ticket;
use wb_event::Event;
use wb_event::emit;
use wb_http::Arriving;
use wb_http::Body;
use wb_platform::Claimed;
use wb_types::outcome::Outcome;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::request_body::RequestBody;
use super::request_info::IdempotencyKey;
use super::request_info::RequestInfo;
use super::response;
use super::retry::InFlight;
use crate::Context;
use crate::service;

/// Longest wait for the holder of a ticket.
const TAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances that are reply for a ticket whose issuer has left.
const SUCCESSORS_MAX: usize = 3;
/// Instances that are reply for one ticket at most.
const TAKE_CALLS_MAX: usize = 6;

/// What ends the record of work when it is dropped.
enum ExecutionRecord {
    /// Nothing is recorded.
    None,
    /// A ticket that this process holds.
    Ticket(Ticket),
    /// Work that another instance passed on.
    Forwarded,
    /// A claim in the platform's table.
    Claim(String),
}

/// Ends a record, whatever becomes of the work.
struct RecordGuard {
    context: Arc<Context>,
    info: Arc<RequestInfo>,
    record: ExecutionRecord,
    maybe_sent: Arc<AtomicBool>,
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        let end = if self.maybe_sent.load(Ordering::Relaxed) {
            End::Unknown
        } else {
            End::NotRun
        };
        self.end(end);
    }
}

impl RecordGuard {
    fn end(&mut self, end: End) {
        let now = self.context.clock.now();
        match std::mem::replace(&mut self.record, ExecutionRecord::None) {
            ExecutionRecord::None => {}
            ExecutionRecord::Ticket(ticket) => {
                let mut claims = self.context.claims.lock().expect("no holder panics");
                claims.finish(&ticket, end, now);
            }
            ExecutionRecord::Forwarded => {
                let mut forwarded = self.context.forwarded.lock().expect("no holder panics");
                forwarded.end(&self.info.id, to_fate(end), now);
            }
            ExecutionRecord::Claim(key) => store_answer(&self.context, key, end),
        }
    }
}

fn to_fate(end: End) -> Fate {
    match end {
        End::Done(answer) => Fate::Ran(answer),
        End::NotRun => Fate::NotRun,
        End::Unknown => Fate::Unknown,
    }
}

/// Stores the outcome of claimed work, behind the path.
fn store_answer(context: &Arc<Context>, key: String, end: End) {
    let End::Done(Some(answer)) = end else {
        return;
    };
    let platform = context.platform.clone();
    tokio::spawn(async move {
        if let Ok(text) = serde_json::to_string(&answer) {
            let _ = platform.settle(&key, &text).await;
        }
    });
}

/// Runs a request under its ticket, claim or other record, if it has one.
///
/// # Errors
///
/// The refusal that the caller is told.
pub async fn execute(
    context: &Arc<Context>,
    info: &Arc<RequestInfo>,
    parts: Parts,
    body: Arriving,
) -> Result<Response<Body>, Refusal> {
    let started = Instant::now();
    let record = match open(context, info).await {
        Ok(record) => record,
        Err(EarlyResult::Answer(answer)) => return Ok(response::from_stored(&answer)),
        Err(EarlyResult::Refusal(refusal)) => return Err(refusal),
    };
    let maybe_sent = Arc::new(AtomicBool::new(false));
    let record = RecordGuard {
        context: context.clone(),
        info: info.clone(),
        record,
        maybe_sent: maybe_sent.clone(),
    };
    let actor = service::get_or_spawn(context, &info.row.service).await;
    let actor = actor.ok_or(Refusal::not_run(Reason::NoCapacity))?;
    let idle = context.settings.bounds.idle;
    let body = RequestBody::receive(body, info.size, idle).await?;
    let inflight = InFlight {
        context: context.clone(),
        info: info.clone(),
        parts,
        body,
        actor,
        buffered: None,
        maybe_run: false,
        maybe_sent,
        started,
    };
    if info.idempotent {
        return run_and_record(inflight, record).await;
    }
    // A caller that goes away does not cancel work that must not repeat.
    let detached = tokio::spawn(run_and_record(inflight, record));
    detached
        .await
        .unwrap_or(Err(Refusal::unknown(Reason::BrokenAnswer)))
}

async fn run_and_record(
    mut inflight: InFlight,
    mut record: RecordGuard,
) -> Result<Response<Body>, Refusal> {
    let result = inflight.run().await;
    let end = match &result {
        Ok(response) => End::Done(inflight.buffered.take().map(|bytes| {
            let headers = response.headers();
            response::to_stored(response.status(), headers, bytes)
        })),
        Err(refusal) if refusal.outcome == Outcome::NotRun => End::NotRun,
        Err(_) => End::Unknown,
    };
    record.end(end);
    result
}

/// Work that ends before it begins.
enum EarlyResult {
    /// It was run before.
    Answer(Answer),
    /// It is refused.
    Refusal(Refusal),
}

impl From<Refusal> for EarlyResult {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

/// Opens the record that a request needs.
async fn open(context: &Arc<Context>, info: &RequestInfo) -> Result<ExecutionRecord, EarlyResult> {
    if info.idempotent {
        return Ok(ExecutionRecord::None);
    }
    if info.forwarded {
        let now = context.clock.now();
        let mut forwarded = context.forwarded.lock().expect("no holder panics");
        return if forwarded.begin(&info.id, now) {
            Ok(ExecutionRecord::Forwarded)
        } else {
            Err(Refusal::unknown(Reason::InProgress).into())
        };
    }
    match &info.key {
        None => Ok(ExecutionRecord::None),
        Some(IdempotencyKey::Ticket(ticket)) => open_ticket(context, info, ticket).await,
        Some(IdempotencyKey::CallerChosen(key)) => open_claim(context, info, key).await,
    }
}

async fn open_ticket(
    context: &Arc<Context>,
    info: &RequestInfo,
    ticket: &Ticket,
) -> Result<ExecutionRecord, EarlyResult> {
    match begin(context, info, ticket) {
        Begin::Run => Ok(ExecutionRecord::Ticket(ticket.clone())),
        Begin::Ask(_) => {
            take_over(context, ticket).await?;
            match begin(context, info, ticket) {
                Begin::Run => Ok(ExecutionRecord::Ticket(ticket.clone())),
                other => Err(early_result(other)),
            }
        }
        Begin::Moved(name) => {
            let reason = format!("holder={name}");
            emit!(Event::TicketSettled, "ticket={ticket} {reason}");
            Err(Refusal::unknown(Reason::HolderGone).into())
        }
        other => Err(early_result(other)),
    }
}

fn begin(context: &Context, info: &RequestInfo, ticket: &Ticket) -> Begin {
    let now = context.clock.now();
    let mut claims = context.claims.lock().expect("no holder panics");
    claims.begin(ticket, &info.caller, &info.target, now)
}

fn early_result(begin: Begin) -> EarlyResult {
    match begin {
        Begin::Replay(answer) => EarlyResult::Answer(answer),
        Begin::Ran => Refusal::unknown(Reason::BrokenAnswer).into(),
        Begin::InProgress => Refusal::unknown(Reason::InProgress).into(),
        Begin::Mismatch => Refusal::not_run(Reason::BadRequest).into(),
        Begin::Missing => Refusal::unknown(Reason::UnknownTicket).into(),
        _ => Refusal::unknown(Reason::HolderGone).into(),
    }
}

/// Asks the issuer of a ticket, or those that may have its records, to hand it over.
async fn take_over(context: &Arc<Context>, ticket: &Ticket) -> Result<(), EarlyResult> {
    let holder = context.holder();
    let mut targets = holders(context, ticket);
    for _ in 0..TAKE_CALLS_MAX {
        let Some(target) = targets.pop_front() else {
            break;
        };
        let reply = context
            .peers
            .take(target, ticket, &holder, TAKE_TIMEOUT)
            .await;
        let Ok(handover) = reply else {
            continue;
        };
        match handover {
            Handover::Granted(record) => {
                let now = context.clock.now();
                let mut claims = context.claims.lock().expect("no holder panics");
                claims.adopt(record, now);
                return Ok(());
            }
            Handover::Ran(Some(answer)) => return Err(EarlyResult::Answer(answer)),
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

/// Peer addresses to ask for a ticket: the issuer, then the likely successors.
fn holders(context: &Context, ticket: &Ticket) -> VecDeque<SocketAddr> {
    let view = context.view();
    let issuer = view.live.iter().find(|other| other.name == ticket.issuer);
    let mut targets: VecDeque<_> = issuer.map(|issuer| issuer.peers).into_iter().collect();
    let successors = wb_members::place::heirs(&ticket.issuer, &view.live, SUCCESSORS_MAX);
    let me = context.instance_name();
    let others = successors
        .into_iter()
        .filter(|successor| successor.name != *me);
    targets.extend(others.map(|successor| successor.peers));
    targets
}

/// Claims a key that the caller made up in the platform's table.
async fn open_claim(
    context: &Arc<Context>,
    info: &RequestInfo,
    key: &str,
) -> Result<ExecutionRecord, EarlyResult> {
    let digest = wb_record::Batch::digest(&format!("{}\n{key}", info.caller));
    let mark = format!("running {}", info.id);
    match context.platform.claim(&digest, &mark).await {
        Ok(Claimed::Mine) => Ok(ExecutionRecord::Claim(digest)),
        Ok(Claimed::Other(text)) => match serde_json::from_str(&text) {
            Ok(answer) => Err(EarlyResult::Answer(answer)),
            Err(_) => Err(Refusal::unknown(Reason::InProgress).into()),
        },
        Err(_) => Err(Refusal::not_run(Reason::PlatformDown).into()),
    }
}
