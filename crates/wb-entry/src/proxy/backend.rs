//! One attempt at a backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use wb_dispatch::policy::Assignment;
use wb_dispatch::policy::LoadReport;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::pool::PooledResponse;
use wb_http::pool::SendOptions;
use wb_types::id::ServerName;
use wb_types::member::LeavingServer;
use wb_types::outcome::Reason;
use wb_types::request::AttemptOutcome;

use super::header;
use super::payload::KEEP_MAX;
use super::run::Run;
use super::run::Step;
use super::stream::Guarded;
use super::stream::Timed;
use crate::fleet::FleetMessage;
use crate::service::Guard;

/// Sends a request to the server that was granted.
pub(super) async fn send(run: &mut Run, grant: &Assignment, guard: Guard) -> Step {
    let left = run.context.clock.until(run.intake.deadline);
    if left.is_zero() {
        return Step::NotRun(Reason::Deadline);
    }
    let Some(payload) = run.upload.hand_over() else {
        return Step::NotRun(Reason::BadRequest);
    };
    let request = request(run, payload);
    let terms = SendOptions::new(grant.max_connections, run.intake.idempotent);
    let since = Instant::now();
    let pool = run.context.backends.clone();
    run.handed.store(true, Ordering::Relaxed);
    let sent = tokio::time::timeout(left, pool.send(grant.address, terms, request)).await;
    match sent {
        Ok(Ok(reply)) => take(run, grant, guard, since, reply).await,
        Ok(Err(SendError::NotSent { request, .. })) => {
            run.handed.store(run.maybe, Ordering::Relaxed);
            run.upload.give_back(request.into_body());
            guard.finish(AttemptOutcome::Failure, None);
            Step::NotRun(Reason::Connect)
        }
        Ok(Err(SendError::NoResponse { .. })) if run.upload.is_broken() => {
            guard.finish(AttemptOutcome::Inconclusive, None);
            Step::Lost(Reason::BadRequest)
        }
        Ok(Err(SendError::NoResponse { .. })) => {
            guard.finish(AttemptOutcome::Failure, None);
            Step::Lost(Reason::BrokenAnswer)
        }
        Err(_) => {
            run.context.backends.close_idle(grant.address);
            guard.finish(AttemptOutcome::Failure, None);
            Step::Lost(Reason::Timeout)
        }
    }
}

fn request(run: &Run, payload: Body) -> Request<Body> {
    let mut request = Request::new(payload);
    *request.method_mut() = run.parts.method.clone();
    *request.uri_mut() = path_of(run);
    let headers = request.headers_mut();
    *headers = header::to_backend(&run.parts.headers);
    let left = run.context.clock.until(run.intake.deadline).as_millis() as u64;
    headers.insert(header::DEADLINE, left.into());
    if let Ok(id) = run.intake.id.parse() {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Ok(caller) = run.intake.caller.parse() {
        headers.insert(header::CALLER, caller);
    }
    request
}

/// Path and query of a request, without scheme and authority.
pub(super) fn path_of(run: &Run) -> http::Uri {
    let path = run.parts.uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_default()
}

/// Takes the head of an answer.
async fn take(
    run: &mut Run,
    grant: &Assignment,
    guard: Guard,
    since: Instant,
    reply: PooledResponse,
) -> Step {
    let report =
        header::number(reply.headers(), header::LOAD).map(|busy| LoadReport { busy: busy as u32 });
    if reply.headers().contains_key(header::LEAVING) {
        tell_leaving(run, &grant.server);
    }
    if reply.headers().contains_key(header::SHED) {
        guard.finish(AttemptOutcome::Shed, report);
        run.handed.store(run.maybe, Ordering::Relaxed);
        return Step::NotRun(Reason::Shed);
    }
    if !is_framed(&run.parts.method, reply.status(), reply.headers()) {
        guard.finish(AttemptOutcome::Failure, report);
        return Step::Lost(Reason::BrokenAnswer);
    }
    let failed = reply.status().is_server_error();
    let length = http_body::Body::size_hint(reply.body()).exact();
    if length.is_some_and(|length| length <= KEEP_MAX) {
        return keep(run, guard, since, report, reply, failed).await;
    }
    Step::Answer(stream(run, guard, since, report, reply))
}

/// Whether the end of an answer's body can be told from a connection that broke.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// Holds a small answer back until it is whole, so that a broken one can be told from it.
async fn keep(
    run: &mut Run,
    guard: Guard,
    since: Instant,
    report: Option<LoadReport>,
    reply: PooledResponse,
    failed: bool,
) -> Step {
    let (parts, answer) = reply.into_parts();
    let left = run.context.clock.until(run.intake.deadline);
    let idle = run.context.settings.limits.idle_timeout.min(left);
    match body::read(answer, KEEP_MAX as usize, idle).await {
        Ok(bytes) => {
            let ending = if failed {
                AttemptOutcome::Failure
            } else {
                AttemptOutcome::Success(since.elapsed())
            };
            guard.finish(ending, report);
            run.kept = Some(bytes.clone());
            let mut response = Response::from_parts(parts, body::full(bytes));
            *response.headers_mut() = header::end_to_end(response.headers());
            if failed {
                Step::Failed(response)
            } else {
                Step::Answer(response)
            }
        }
        Err(_) => {
            guard.finish(AttemptOutcome::Failure, report);
            Step::Lost(Reason::BrokenAnswer)
        }
    }
}

/// Passes a large answer on as it comes.
fn stream(
    run: &Run,
    guard: Guard,
    since: Instant,
    report: Option<LoadReport>,
    reply: PooledResponse,
) -> Response<Body> {
    let idle = run.context.settings.limits.idle_timeout;
    let (parts, answer) = reply.into_parts();
    let timed = Timed::new(answer, idle, Arc::new(AtomicBool::new(false)));
    let guarded = Guarded::new(timed, guard, since, report);
    let mut response = Response::from_parts(parts, body::boxed(guarded));
    *response.headers_mut() = header::end_to_end(response.headers());
    response
}

fn tell_leaving(run: &Run, server: &ServerName) {
    let news = LeavingServer {
        service: run.intake.row.service.clone(),
        server: server.clone(),
    };
    let fleet = &run.context.actors().fleet;
    let _ = fleet.cast(FleetMessage::ServerLeaving(news));
}

/// Sends a copy of a request to a server that needs evidence. Nobody waits for the answer.
pub(super) fn send_copy(run: &Run, copy: &wb_dispatch::policy::Mirror, guard: Guard) {
    let Some(payload) = run.upload.copy() else {
        return;
    };
    let request = request(run, payload);
    let terms = SendOptions::new(copy.max_connections, true);
    let pool = run.context.backends.clone();
    let address = copy.address;
    let left = run.context.clock.until(run.intake.deadline);
    tokio::spawn(async move {
        let since = Instant::now();
        let exchange = async {
            let reply = pool.send(address, terms, request).await.ok()?;
            let shed = reply.headers().contains_key(header::SHED);
            let failed = reply.status().is_server_error();
            let read = body::read(reply.into_body(), KEEP_MAX as usize, left).await;
            Some(match read {
                _ if shed => AttemptOutcome::Shed,
                Ok(_) if !failed => AttemptOutcome::Success(since.elapsed()),
                Err(body::ReadError::TooLarge(_)) => AttemptOutcome::Success(since.elapsed()),
                _ => AttemptOutcome::Failure,
            })
        };
        let ending = tokio::time::timeout(left, exchange).await;
        guard.finish(
            ending.ok().flatten().unwrap_or(AttemptOutcome::Failure),
            None,
        );
    });
}
