//! One attempt to forward a request to another home.

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
use super::outbound_body::BUFFER_MAX;
use super::response;
use super::retry::AttemptResult;
use super::retry::InFlight;
use super::stream::GuardedBody;
use super::stream::IdleTimeoutBody;
use crate::service::RequestGuard;
use crate::service::ServiceMessage;

/// Maximum number of connections to one other home.
const MAX_CONNECTIONS: u32 = 256;
/// Timeout of a call that asks a home for the outcome of a request.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between these calls.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the deadline for which a home is still asked for the outcome.
const SETTLE_GRACE: Duration = Duration::from_secs(2);

/// Forwards a request to the home with the given name.
pub(super) async fn send(
    inflight: &mut InFlight,
    name: &InstanceName,
    guard: RequestGuard,
) -> AttemptResult {
    let Some(home) = find(inflight, name) else {
        return mark_unreachable(inflight, name, guard, Reason::Connect);
    };
    let left = inflight.context.clock.remaining(inflight.info.deadline);
    let Some(body) = inflight.body.take() else {
        return AttemptResult::NotRun(Reason::BadRequest);
    };
    let request = request(inflight, body);
    let options = SendOptions::new(MAX_CONNECTIONS, inflight.info.idempotent);
    inflight.context.metrics.forwarded.inc();
    let pool = inflight.context.home_pool.clone();
    inflight.maybe_sent.store(true, Ordering::Relaxed);
    let sent = tokio::time::timeout(left, pool.send(home.callers, options, request)).await;
    match sent {
        Ok(Ok(response)) => handle_response(inflight, &home, guard, response).await,
        Ok(Err(SendError::NotSent { request, .. })) => {
            inflight
                .maybe_sent
                .store(inflight.maybe_run, Ordering::Relaxed);
            inflight.body.restore(request.into_body());
            mark_unreachable(inflight, name, guard, Reason::Connect)
        }
        Ok(Err(SendError::NoResponse { .. })) => {
            settle(inflight, &home, guard, Reason::BrokenAnswer).await
        }
        Err(_) => {
            inflight.context.home_pool.close_idle(home.callers);
            settle(inflight, &home, guard, Reason::Timeout).await
        }
    }
}

fn find(inflight: &InFlight, name: &str) -> Option<Instance> {
    let view = inflight.context.view();
    let placement = view.services.get(&inflight.info.row.service)?;
    let mut homes = placement.homes.iter().map(|slots| &slots.home);
    homes.find(|home| &*home.name == name).cloned()
}

fn request(inflight: &InFlight, body: Body) -> Request<Body> {
    let info = &inflight.info;
    let mut request = Request::new(body);
    *request.method_mut() = inflight.parts.method.clone();
    *request.uri_mut() = path_of(inflight);
    let headers = request.headers_mut();
    *headers = header::to_backend(&inflight.parts.headers);
    let left = inflight.context.clock.remaining(info.deadline).as_millis() as u64;
    headers.insert(header::DEADLINE, left.into());
    headers.insert(header::PEER_HOPS, u64::from(info.hops + 1).into());
    if inflight.is_home() || info.admitted {
        headers.insert(header::PEER_ADMITTED, 1.into());
    }
    let token = &inflight.context.settings.tokens.peers;
    let texts = [
        (header::PEER_TOKEN, token.as_str()),
        (header::REQUEST_ID, &*info.id),
        (header::SERVICE, &*info.row.service),
        (header::CLASS, &*info.row.class),
        (header::CALLER, &*info.caller),
    ];
    for (name, text) in texts {
        if let Ok(value) = text.parse() {
            headers.insert(name, value);
        }
    }
    request
}

/// Reports that a home could not be reached or takes no requests for the service. The request was
/// not run there.
fn mark_unreachable(
    inflight: &InFlight,
    name: &InstanceName,
    guard: RequestGuard,
    reason: Reason,
) -> AttemptResult {
    let _ = inflight
        .actor
        .cast(ServiceMessage::HomeUnreachable(name.clone()));
    guard.finish(AttemptOutcome::Inconclusive, None);
    AttemptResult::OtherHome(reason)
}

async fn handle_response(
    inflight: &mut InFlight,
    home: &Instance,
    guard: RequestGuard,
    response: PooledResponse,
) -> AttemptResult {
    if let Some(refusal) = response::parse_refusal(response.headers()) {
        if refusal.outcome == Outcome::Unknown {
            return AttemptResult::Unknown(refusal.reason);
        }
        inflight
            .maybe_sent
            .store(inflight.maybe_run, Ordering::Relaxed);
        return match refusal.reason {
            Reason::NotHome | Reason::NoCapacity | Reason::NoTable => {
                mark_unreachable(inflight, &home.name, guard, refusal.reason)
            }
            reason => AttemptResult::Refused(reason),
        };
    }
    let length = http_body::Body::size_hint(response.body()).exact();
    let (parts, incoming) = response.into_parts();
    let idle = inflight.context.settings.limits.idle_timeout;
    if length.is_some_and(|length| length <= BUFFER_MAX) {
        return match body::read(incoming, BUFFER_MAX as usize, idle).await {
            Ok(bytes) => {
                inflight.buffered = Some(bytes.clone());
                let mut response = Response::from_parts(parts, body::full(bytes));
                *response.headers_mut() = header::end_to_end(response.headers());
                AttemptResult::Answered(response)
            }
            Err(_) => settle(inflight, home, guard, Reason::BrokenAnswer).await,
        };
    }
    let body = IdleTimeoutBody::new(incoming, idle, Arc::new(AtomicBool::new(false)));
    let body = GuardedBody::new(body, guard, Instant::now(), None);
    let mut response = Response::from_parts(parts, body::boxed(body));
    *response.headers_mut() = header::end_to_end(response.headers());
    AttemptResult::Answered(response)
}

/// Finds out the outcome of a request whose response was lost, by asking the home. A request that
/// has not begun there is barred.
async fn settle(
    inflight: &mut InFlight,
    home: &Instance,
    guard: RequestGuard,
    reason: Reason,
) -> AttemptResult {
    let _ = inflight
        .actor
        .cast(ServiceMessage::HomeUnreachable(home.name.clone()));
    drop(guard);
    if inflight.body.is_aborted() {
        return AttemptResult::Unknown(Reason::BadRequest);
    }
    if inflight.info.idempotent {
        return AttemptResult::Unknown(reason);
    }
    let until = inflight.info.deadline + SETTLE_GRACE;
    while inflight.context.clock.now() < until {
        let status = inflight
            .context
            .peers
            .settle(home.peers, &inflight.info.id, SETTLE_TIMEOUT)
            .await;
        match status {
            Ok(ExecutionStatus::NotRun) => {
                inflight
                    .maybe_sent
                    .store(inflight.maybe_run, Ordering::Relaxed);
                return AttemptResult::OtherHome(reason);
            }
            Ok(ExecutionStatus::Ran(Some(stored))) => {
                inflight.buffered = Some(stored.body.clone());
                return AttemptResult::Answered(response::from_stored(&stored));
            }
            Ok(ExecutionStatus::Ran(None) | ExecutionStatus::Unknown) => {
                return AttemptResult::Unknown(reason);
            }
            Ok(ExecutionStatus::Running) => tokio::time::sleep(SETTLE_INTERVAL).await,
            Err(_) => return AttemptResult::Unknown(reason),
        }
    }
    AttemptResult::Unknown(reason)
}
