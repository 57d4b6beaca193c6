//! One attempt to send a request to a backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use wb_dispatch::policy::Assignment;
use wb_dispatch::policy::ServerLoad;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::header::is_final;
use wb_http::pool::PooledResponse;
use wb_http::pool::SendOptions;
use wb_http::pool::tag_of;
use wb_types::id::ServerName;
use wb_types::member::LeavingServer;
use wb_types::outcome::Reason;
use wb_types::request::AttemptOutcome;

use super::header;
use super::outbound_body::BUFFER_MAX;
use super::retry::AttemptResult;
use super::retry::InFlight;
use super::stream::GuardedBody;
use super::stream::IdleTimeoutBody;
use crate::fleet::FleetMessage;
use crate::service::RequestGuard;

/// Sends the request to the server of `assignment` and reports the outcome through `guard`.
pub(super) async fn send(
    inflight: &mut InFlight,
    assignment: &Assignment,
    guard: RequestGuard,
) -> AttemptResult {
    let left = inflight.context.clock.remaining(inflight.info.deadline);
    if left.is_zero() {
        return AttemptResult::NotRun(Reason::Deadline);
    }
    let Some(body) = inflight.body.take() else {
        return AttemptResult::NotRun(Reason::BadRequest);
    };
    let request = request(inflight, body);
    let options = SendOptions {
        tag: Some(tag_of(&inflight.info.id)),
        ..SendOptions::new(assignment.max_connections, inflight.info.idempotent)
    };
    let started = Instant::now();
    let pool = inflight.context.backend_pool.clone();
    inflight.maybe_sent.store(true, Ordering::Relaxed);
    let sent = tokio::time::timeout(left, pool.send(assignment.address, options, request)).await;
    match sent {
        Ok(Ok(response)) => handle_response(inflight, assignment, guard, started, response).await,
        Ok(Err(SendError::NotSent { request, .. })) => {
            inflight
                .maybe_sent
                .store(inflight.maybe_run, Ordering::Relaxed);
            inflight.body.restore(request.into_body());
            guard.finish(AttemptOutcome::Failure, None);
            AttemptResult::NotRun(Reason::Connect)
        }
        Ok(Err(SendError::NoResponse { .. })) if inflight.body.is_aborted() => {
            guard.finish(AttemptOutcome::Inconclusive, None);
            AttemptResult::Unknown(Reason::BadRequest)
        }
        Ok(Err(SendError::NoResponse { .. })) => {
            guard.finish(AttemptOutcome::Failure, None);
            AttemptResult::Unknown(Reason::BrokenAnswer)
        }
        Err(_) => {
            inflight.context.backend_pool.close_idle(assignment.address);
            guard.finish(AttemptOutcome::Failure, None);
            AttemptResult::Unknown(Reason::Timeout)
        }
    }
}

fn request(inflight: &InFlight, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = inflight.parts.method.clone();
    *request.uri_mut() = path_of(inflight);
    let headers = request.headers_mut();
    *headers = header::to_backend(&inflight.parts.headers);
    let left = inflight
        .context
        .clock
        .remaining(inflight.info.deadline)
        .as_millis() as u64;
    headers.insert(header::DEADLINE, left.into());
    if let Ok(id) = inflight.info.id.parse() {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Ok(caller) = inflight.info.caller.parse() {
        headers.insert(header::CALLER, caller);
    }
    request
}

/// Returns the path and query of a request, without scheme and authority.
pub(super) fn path_of(inflight: &InFlight) -> http::Uri {
    let path = inflight.parts.uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_default()
}

/// Handles the head of a response.
async fn handle_response(
    inflight: &mut InFlight,
    assignment: &Assignment,
    guard: RequestGuard,
    started: Instant,
    response: PooledResponse,
) -> AttemptResult {
    let server_load = header::number(response.headers(), header::LOAD)
        .map(|busy| ServerLoad { busy: busy as u32 });
    if response.headers().contains_key(header::LEAVING) {
        report_leaving(inflight, &assignment.server);
    }
    let reused = response.body().idle_time().is_some();
    let is_own = header::is_response_to(&inflight.info.id, response.headers(), reused);
    if !is_own || !is_final(response.status()) {
        guard.finish(AttemptOutcome::Failure, None);
        response.into_body().close();
        return AttemptResult::Unknown(Reason::BrokenAnswer);
    }
    if response.headers().contains_key(header::SHED) {
        guard.finish(AttemptOutcome::Shed, server_load);
        inflight
            .maybe_sent
            .store(inflight.maybe_run, Ordering::Relaxed);
        return AttemptResult::NotRun(Reason::Shed);
    }
    if !is_framed(
        &inflight.parts.method,
        response.status(),
        response.headers(),
    ) {
        guard.finish(AttemptOutcome::Failure, server_load);
        return AttemptResult::Unknown(Reason::BrokenAnswer);
    }
    let failed = response.status().is_server_error();
    let length = http_body::Body::size_hint(response.body()).exact();
    if length.is_some_and(|length| length <= BUFFER_MAX) {
        return buffer(inflight, guard, started, server_load, response, failed).await;
    }
    AttemptResult::Answered(stream(inflight, guard, started, server_load, response))
}

/// Returns whether the body of a response is delimited by its length or by chunks. Otherwise a
/// complete body cannot be distinguished from a connection that was closed early.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless || is_chunked(headers).unwrap_or_else(|| headers.contains_key(CONTENT_LENGTH))
}

/// Whether the last encoding of a body is that in chunks; `None` if it has none. An encoding goes before a
/// length.
fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().next_back()?;
    let last = encodings.to_str().ok()?.rsplit(',').next()?;
    Some(last.trim().eq_ignore_ascii_case("chunked"))
}

/// Buffers a small response, so that the request can be retried if the body is incomplete.
async fn buffer(
    inflight: &mut InFlight,
    guard: RequestGuard,
    started: Instant,
    server_load: Option<ServerLoad>,
    response: PooledResponse,
    failed: bool,
) -> AttemptResult {
    let (parts, incoming) = response.into_parts();
    let left = inflight.context.clock.remaining(inflight.info.deadline);
    let idle = inflight.context.settings.limits.idle_timeout.min(left);
    match body::read(incoming, BUFFER_MAX as usize, idle).await {
        Ok(bytes) => {
            let outcome = if failed {
                AttemptOutcome::Failure
            } else {
                AttemptOutcome::Success(started.elapsed())
            };
            guard.finish(outcome, server_load);
            inflight.buffered = Some(bytes.clone());
            let mut response = Response::from_parts(parts, body::full(bytes));
            *response.headers_mut() = header::end_to_end(response.headers());
            if failed {
                AttemptResult::ServerError(response)
            } else {
                AttemptResult::Answered(response)
            }
        }
        Err(_) => {
            guard.finish(AttemptOutcome::Failure, server_load);
            AttemptResult::Unknown(Reason::BrokenAnswer)
        }
    }
}

/// Streams a large response to the caller.
fn stream(
    inflight: &InFlight,
    guard: RequestGuard,
    started: Instant,
    server_load: Option<ServerLoad>,
    response: PooledResponse,
) -> Response<Body> {
    let idle = inflight.context.settings.limits.idle_timeout;
    let (parts, incoming) = response.into_parts();
    let body = IdleTimeoutBody::new(incoming, idle, Arc::new(AtomicBool::new(false)));
    let body = GuardedBody::new(body, guard, started, server_load);
    let mut response = Response::from_parts(parts, body::boxed(body));
    *response.headers_mut() = header::end_to_end(response.headers());
    response
}

fn report_leaving(inflight: &InFlight, server: &ServerName) {
    let leaving = LeavingServer {
        service: inflight.info.row.service.clone(),
        server: server.clone(),
    };
    let fleet = &inflight.context.actors().fleet;
    let _ = fleet.cast(FleetMessage::ServerLeaving(leaving));
}

/// Mirrors a request to a server whose health is in question. The response is discarded; only its
/// outcome is reported.
pub(super) fn send_mirror(
    inflight: &InFlight,
    mirror: &wb_dispatch::policy::Mirror,
    guard: RequestGuard,
) {
    let Some(body) = inflight.body.duplicate() else {
        return;
    };
    let request = request(inflight, body);
    let options = SendOptions::new(mirror.max_connections, true);
    let pool = inflight.context.backend_pool.clone();
    let address = mirror.address;
    let left = inflight.context.clock.remaining(inflight.info.deadline);
    tokio::spawn(async move {
        let started = Instant::now();
        let exchange = async {
            let response = pool.send(address, options, request).await.ok()?;
            let shed = response.headers().contains_key(header::SHED);
            let failed = response.status().is_server_error() || !is_final(response.status());
            let read = body::read(response.into_body(), BUFFER_MAX as usize, left).await;
            Some(match read {
                _ if shed => AttemptOutcome::Shed,
                Ok(_) if !failed => AttemptOutcome::Success(started.elapsed()),
                Err(body::ReadError::TooLarge(_)) => AttemptOutcome::Success(started.elapsed()),
                _ => AttemptOutcome::Failure,
            })
        };
        let outcome = tokio::time::timeout(left, exchange).await;
        guard.finish(
            outcome.ok().flatten().unwrap_or(AttemptOutcome::Failure),
            None,
        );
    });
}
