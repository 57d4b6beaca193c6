//! One attempt at another home.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use wb_claim::ExecutionStatus;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::pool::PooledResponse;
use wb_http::pool::SendOptions;
use wb_types::id::InstanceName;
use wb_types::outcome::Outcome;
use wb_types::outcome::Reason;
use wb_types::request::AttemptOutcome;
use wb_types::roster::Instance;

use super::backend::path_of;
use super::header;
use super::payload::KEEP_MAX;
use super::response;
use super::run::Run;
use super::run::Step;
use super::stream::Guarded;
use super::stream::Timed;
use crate::service::Guard;
use crate::service::ServiceMessage;

/// Connections to one other home.
const CONNECTIONS: u32 = 256;
/// Longest wait for the answer of a home that is asked what became of work.
const SETTLE: Duration = Duration::from_millis(500);
/// Pause between two such questions.
const PAUSE: Duration = Duration::from_millis(50);
/// Time that a home is asked for, after the deadline.
const GRACE: Duration = Duration::from_secs(2);

/// Passes a request to another home.
pub(super) async fn send(run: &mut Run, name: &InstanceName, guard: Guard) -> Step {
    let Some(home) = find(run, name) else {
        return unreachable(run, name, guard, Reason::Connect);
    };
    let left = run.context.clock.until(run.intake.deadline);
    let Some(payload) = run.upload.hand_over() else {
        return Step::NotRun(Reason::BadRequest);
    };
    let request = request(run, payload);
    let terms = SendOptions::new(CONNECTIONS, run.intake.idempotent);
    run.context.metrics.passed.inc();
    let pool = run.context.homes.clone();
    run.handed.store(true, Ordering::Relaxed);
    let sent = tokio::time::timeout(left, pool.send(home.callers, terms, request)).await;
    match sent {
        Ok(Ok(reply)) => take(run, &home, guard, reply).await,
        Ok(Err(SendError::NotSent { request, .. })) => {
            run.handed.store(run.maybe, Ordering::Relaxed);
            run.upload.give_back(request.into_body());
            unreachable(run, name, guard, Reason::Connect)
        }
        Ok(Err(SendError::NoResponse { .. })) => {
            lost(run, &home, guard, Reason::BrokenAnswer).await
        }
        Err(_) => {
            run.context.homes.close_idle(home.callers);
            lost(run, &home, guard, Reason::Timeout).await
        }
    }
}

fn find(run: &Run, name: &str) -> Option<Instance> {
    let view = run.context.view();
    let placement = view.services.get(&run.intake.row.service)?;
    let mut homes = placement.homes.iter().map(|slots| &slots.home);
    homes.find(|home| &*home.name == name).cloned()
}

fn request(run: &Run, payload: Body) -> Request<Body> {
    let intake = &run.intake;
    let mut request = Request::new(payload);
    *request.method_mut() = run.parts.method.clone();
    *request.uri_mut() = path_of(run);
    let headers = request.headers_mut();
    *headers = header::to_backend(&run.parts.headers);
    let left = run.context.clock.until(intake.deadline).as_millis() as u64;
    headers.insert(header::DEADLINE, left.into());
    headers.insert(header::PEER_HOPS, u64::from(intake.hops + 1).into());
    if run.is_home() || intake.admitted {
        headers.insert(header::PEER_ADMITTED, 1.into());
    }
    let token = &run.context.settings.tokens.peers;
    let texts = [
        (header::PEER_TOKEN, token.as_str()),
        (header::REQUEST_ID, &*intake.id),
        (header::SERVICE, &*intake.row.service),
        (header::CLASS, &*intake.row.class),
        (header::CALLER, &*intake.caller),
    ];
    for (name, text) in texts {
        if let Ok(value) = text.parse() {
            headers.insert(name, value);
        }
    }
    request
}

/// Notes that a home could not be reached; the request was not run there.
fn unreachable(run: &Run, name: &InstanceName, guard: Guard, reason: Reason) -> Step {
    let _ = run.actor.cast(ServiceMessage::Unreachable(name.clone()));
    guard.finish(AttemptOutcome::Inconclusive, None);
    Step::Elsewhere(reason)
}

async fn take(run: &mut Run, home: &Instance, guard: Guard, reply: PooledResponse) -> Step {
    if let Some(refusal) = response::parse_refusal(reply.headers()) {
        if refusal.outcome == Outcome::Unknown {
            return Step::Lost(refusal.reason);
        }
        run.handed.store(run.maybe, Ordering::Relaxed);
        return match refusal.reason {
            Reason::NotHome | Reason::NoCapacity | Reason::NoTable => {
                unreachable(run, &home.name, guard, refusal.reason)
            }
            reason => Step::Refused(reason),
        };
    }
    let length = http_body::Body::size_hint(reply.body()).exact();
    let (parts, incoming) = reply.into_parts();
    let idle = run.context.settings.limits.idle_timeout;
    if length.is_some_and(|length| length <= KEEP_MAX) {
        return match body::read(incoming, KEEP_MAX as usize, idle).await {
            Ok(bytes) => {
                run.kept = Some(bytes.clone());
                let mut response = Response::from_parts(parts, body::full(bytes));
                *response.headers_mut() = header::end_to_end(response.headers());
                Step::Answer(response)
            }
            Err(_) => lost(run, home, guard, Reason::BrokenAnswer).await,
        };
    }
    let timed = Timed::new(incoming, idle, Arc::new(AtomicBool::new(false)));
    let guarded = Guarded::new(timed, guard, Instant::now(), None);
    let mut response = Response::from_parts(parts, body::boxed(guarded));
    *response.headers_mut() = header::end_to_end(response.headers());
    Step::Answer(response)
}

/// Finds out what became of work whose answer was lost, by asking the home. Work that the home
/// has not begun is barred there.
async fn lost(run: &mut Run, home: &Instance, guard: Guard, reason: Reason) -> Step {
    let _ = run
        .actor
        .cast(ServiceMessage::Unreachable(home.name.clone()));
    drop(guard);
    if run.upload.is_broken() {
        return Step::Lost(Reason::BadRequest);
    }
    if run.intake.idempotent {
        return Step::Lost(reason);
    }
    let until = run.intake.deadline + GRACE;
    while run.context.clock.now() < until {
        let asked = run
            .context
            .peers
            .settle(home.peers, &run.intake.id, SETTLE)
            .await;
        match asked {
            Ok(ExecutionStatus::NotRun) => {
                run.handed.store(run.maybe, Ordering::Relaxed);
                return Step::Elsewhere(reason);
            }
            Ok(ExecutionStatus::Ran(Some(kept))) => {
                run.kept = Some(kept.body.clone());
                return Step::Answer(response::from_stored(&kept));
            }
            Ok(ExecutionStatus::Ran(None) | ExecutionStatus::Unknown) => return Step::Lost(reason),
            Ok(ExecutionStatus::Running) => tokio::time::sleep(PAUSE).await,
            Err(_) => return Step::Lost(reason),
        }
    }
    Step::Lost(reason)
}
