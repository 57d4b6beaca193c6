//! At-most-once execution of requests that are not idempotent.
//!
//! A request is recorded before it is run: under its ticket, under a claim of the idempotency key
//! that the caller chose, or, if another instance forwarded it, under its request id.

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

use super::outbound_body::OutboundBody;
use super::request_info::IdempotencyKey;
use super::request_info::RequestInfo;
use super::response;
use super::retry::InFlight;
use crate::Context;
use crate::service;

/// Timeout of a call that asks an instance for a ticket.
const TAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of successors that are asked for a ticket whose issuer may have left.
const SUCCESSORS_MAX: usize = 3;
/// Maximum number of instances that are asked for one ticket.
const TAKE_CALLS_MAX: usize = 6;

/// Where the execution of a request is recorded.
enum ExecutionRecord {
    /// Not recorded: the request is idempotent or has no key.
    None,
    /// A ticket that this process holds.
    Ticket(Ticket),
    /// A request that another instance forwarded.
    Forwarded,
    /// A claim in the platform's table of a key that the caller chose, by the digest of the key.
    Claim(String),
}

/// Completes a record, at the latest when the guard is dropped: then as unknown if any part of the
/// request may have been sent, otherwise as not run.
struct RecordGuard {
    context: Arc<Context>,
    info: Arc<RequestInfo>,
    record: ExecutionRecord,
    maybe_sent: Arc<AtomicBool>,
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        let completion = if self.maybe_sent.load(Ordering::Relaxed) {
            Completion::Unknown
        } else {
            Completion::NotRun
        };
        self.complete(completion);
    }
}

impl RecordGuard {
    fn complete(&mut self, completion: Completion) {
        let now = self.context.clock.now();
        match std::mem::replace(&mut self.record, ExecutionRecord::None) {
            ExecutionRecord::None => {}
            ExecutionRecord::Ticket(ticket) => {
                let mut tickets = self.context.tickets.lock().expect("lock is not poisoned");
                tickets.finish(&ticket, completion, now);
            }
            ExecutionRecord::Forwarded => {
                let mut forwarded = self.context.forwarded.lock().expect("lock is not poisoned");
                forwarded.finish(&self.info.id, to_status(completion), now);
            }
            ExecutionRecord::Claim(key) => store_response(&self.context, key, completion),
        }
    }
}

fn to_status(completion: Completion) -> ExecutionStatus {
    match completion {
        Completion::Done(response) => ExecutionStatus::Ran(response),
        Completion::NotRun => ExecutionStatus::NotRun,
        Completion::Unknown => ExecutionStatus::Unknown,
    }
}

/// Stores the response to a claimed request in the background.
fn store_response(context: &Arc<Context>, key: String, completion: Completion) {
    let Completion::Done(Some(response)) = completion else {
        return;
    };
    let platform = context.platform.clone();
    tokio::spawn(async move {
        if let Ok(text) = serde_json::to_string(&response) {
            let _ = platform.update_claim(&key, &text).await;
        }
    });
}

/// Runs a request and records its execution if it must not be repeated.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn execute(
    context: &Arc<Context>,
    info: &Arc<RequestInfo>,
    parts: Parts,
    body: RequestBody,
) -> Result<Response<Body>, Refusal> {
    let started = Instant::now();
    let record = match open_record(context, info).await {
        Ok(record) => record,
        Err(EarlyResult::Stored(stored)) => return Ok(response::from_stored(&stored)),
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
    let idle = context.settings.limits.idle_timeout;
    let body = OutboundBody::receive(body, info.size, idle).await?;
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
    // A detached task: a caller that disconnects must not cancel a request that cannot be repeated.
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
    let completion = match &result {
        Ok(response) => Completion::Done(inflight.buffered.take().map(|bytes| {
            let headers = response.headers();
            response::to_stored(response.status(), headers, bytes)
        })),
        Err(refusal) if refusal.outcome == Outcome::NotRun => Completion::NotRun,
        Err(_) => Completion::Unknown,
    };
    record.complete(completion);
    result
}

/// Result of a request that is not run.
enum EarlyResult {
    /// It was run before; the stored response.
    Stored(StoredResponse),
    /// It is refused.
    Refusal(Refusal),
}

impl From<Refusal> for EarlyResult {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

/// Opens the record that a request needs.
async fn open_record(
    context: &Arc<Context>,
    info: &RequestInfo,
) -> Result<ExecutionRecord, EarlyResult> {
    if info.idempotent {
        return Ok(ExecutionRecord::None);
    }
    if info.forwarded {
        let now = context.clock.now();
        let mut forwarded = context.forwarded.lock().expect("lock is not poisoned");
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
        BeginOutcome::Run => Ok(ExecutionRecord::Ticket(ticket.clone())),
        BeginOutcome::AskIssuer(_) => {
            take_over(context, ticket).await?;
            match begin(context, info, ticket) {
                BeginOutcome::Run => Ok(ExecutionRecord::Ticket(ticket.clone())),
                other => Err(early_result(other)),
            }
        }
        BeginOutcome::Moved(name) => {
            let reason = format!("holder={name}");
            emit!(Event::TicketSettled, "ticket={ticket} {reason}");
            Err(Refusal::unknown(Reason::HolderGone).into())
        }
        other => Err(early_result(other)),
    }
}

fn begin(context: &Context, info: &RequestInfo, ticket: &Ticket) -> BeginOutcome {
    let now = context.clock.now();
    let mut tickets = context.tickets.lock().expect("lock is not poisoned");
    tickets.begin(ticket, &info.caller, &info.target, now)
}

fn early_result(begin: BeginOutcome) -> EarlyResult {
    match begin {
        BeginOutcome::Replay(stored) => EarlyResult::Stored(stored),
        BeginOutcome::ResponseNotKept => Refusal::unknown(Reason::BrokenAnswer).into(),
        BeginOutcome::InProgress => Refusal::unknown(Reason::InProgress).into(),
        BeginOutcome::Mismatch => Refusal::not_run(Reason::BadRequest).into(),
        BeginOutcome::Missing => Refusal::unknown(Reason::UnknownTicket).into(),
        _ => Refusal::unknown(Reason::HolderGone).into(),
    }
}

/// Asks the issuer of a ticket, or the instances that may have taken over its records, to hand
/// the ticket over to this process.
async fn take_over(context: &Arc<Context>, ticket: &Ticket) -> Result<(), EarlyResult> {
    let holder = context.holder();
    let mut targets = possible_holders(context, ticket);
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
                let mut tickets = context.tickets.lock().expect("lock is not poisoned");
                tickets.import(record, now);
                return Ok(());
            }
            Handover::Ran(Some(stored)) => return Err(EarlyResult::Stored(stored)),
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

/// Returns the peer addresses to ask for a ticket: the issuer, then its likely successors.
fn possible_holders(context: &Context, ticket: &Ticket) -> VecDeque<SocketAddr> {
    let view = context.view();
    let issuer = view.live.iter().find(|other| other.name == ticket.issuer);
    let mut targets: VecDeque<_> = issuer.map(|issuer| issuer.peers).into_iter().collect();
    let successors = wb_members::placement::successors(&ticket.issuer, &view.live, SUCCESSORS_MAX);
    let own_name = context.instance_name();
    let others = successors
        .into_iter()
        .filter(|successor| successor.name != *own_name);
    targets.extend(others.map(|successor| successor.peers));
    targets
}

/// Claims, in the platform's table, a key that the caller chose.
async fn open_claim(
    context: &Arc<Context>,
    info: &RequestInfo,
    key: &str,
) -> Result<ExecutionRecord, EarlyResult> {
    let digest = wb_record::Batch::digest(&format!("{}\n{key}", info.caller));
    let marker = format!("running {}", info.id);
    match context.platform.claim(&digest, &marker).await {
        Ok(ClaimResult::Acquired) => Ok(ExecutionRecord::Claim(digest)),
        Ok(ClaimResult::HeldByOther(text)) => match serde_json::from_str(&text) {
            Ok(stored) => Err(EarlyResult::Stored(stored)),
            Err(_) => Err(Refusal::unknown(Reason::InProgress).into()),
        },
        Err(_) => Err(Refusal::not_run(Reason::PlatformDown).into()),
    }
}
