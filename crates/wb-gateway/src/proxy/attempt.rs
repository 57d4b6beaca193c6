//! One attempt of a request at one server.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use tokio::task::JoinHandle;
use wb_balance::AttemptOutcome;
use wb_balance::Evidence;
use wb_balance::idle::may_be_stale;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::header::end_to_end;
use wb_http::pool::Connection;
use wb_types::id::Moment;

use super::buffers::BufferedBody;
use super::checked;
use super::checked::CheckedResponse;
use super::crash;
use super::leaving;
use super::leaving::Receiver;
use super::limit;
use super::path;
use super::pause;
use super::routed::RoutedRequest;
use super::slot::Slot;
use super::streamed::StreamedBody;
use super::team;
use crate::Context;

/// Connections to backend servers. A new one takes a few milliseconds, so half a second without one
/// means a lost packet or a server that is gone. Idle ones are closed well before the ten seconds
/// after which servers usually close them.
pub const POOL_OPTIONS: wb_http::pool::Options = wb_http::pool::Options {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(8),
    ack_timeout: Duration::from_secs(5),
};

/// An attempt counts against its server after this multiple of the typical latency, which one in
/// thirty exceeds at a healthy server.
const OVERDUE_FACTOR: u32 = 3;
/// Shortest time after which an attempt counts against its server.
const OVERDUE_MIN: Duration = Duration::from_millis(200);

/// Reason of an attempt whose server could not be connected.
pub const UNREACHABLE: &str = "unreachable";

/// Result of an attempt.
pub enum Outcome {
    /// A complete response, or one that is too large to buffer and is streamed.
    Response(Response<Body>),
    /// A response with a server error: the request was executed and failed.
    ServerError(Response<Body>),
    /// The request was not executed.
    NotExecuted {
        /// Reason, as it is logged.
        reason: &'static str,
        /// Whether the server received the request.
        reached: bool,
        /// The body, if none of it was sent.
        body: Option<Body>,
    },
    /// The request may have been executed, and there is no valid response.
    Indeterminate {
        /// Reason, as it is logged.
        reason: &'static str,
    },
}

/// Sends a request to the server of a slot, and waits for the response until the request's
/// deadline. Dropping the future before a connection is open ends the attempt, and the server gets
/// nothing.
pub async fn run(
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    slot: Slot,
    body: Body,
) -> Outcome {
    let started = context.now();
    let idempotent = routed.route.repeat.is_idempotent();
    let mut slot = slot;
    let mut request = build_request(&context, &routed, &slot, body);
    loop {
        let connection = match connect(&context, &routed, &slot).await {
            Ok(connection) => connection,
            Err(err) => return fail_unsent(&context, &routed, slot, request, &err),
        };
        if !slot.may_send() {
            let error = "the server takes no more requests";
            return withdraw(&routed, slot, request, error);
        }
        if routed.standing(&context).is_held() {
            let error = "the request has crashed servers meanwhile";
            return withdraw(&routed, slot, request, error);
        }
        let exchange = exchange(
            context.clone(),
            routed.clone(),
            slot,
            connection,
            request,
            started,
        );
        let result = if idempotent {
            exchange.await
        } else {
            // Runs in its own task: a request that must not be repeated goes on when its caller
            // disconnects, since the server may have begun to execute it.
            let internal = |_| Ok(Outcome::Indeterminate { reason: "internal" });
            tokio::spawn(exchange).await.unwrap_or_else(internal)
        };
        match result {
            Ok(outcome) => return outcome,
            Err(unsent) => (slot, request) = *unsent,
        }
    }
}

/// Opens a connection for a request, or takes an idle one.
async fn connect(context: &Context, routed: &RoutedRequest, slot: &Slot) -> io::Result<Connection> {
    let address = slot.assignment.server.address;
    let checkout = context.pool.checkout(address, slot.send_options());
    tokio::select! {
        result = checkout => result,
        () = context.wait_until_due(routed.deadline) => {
            Err(io::Error::new(io::ErrorKind::TimedOut, "no connection before the deadline"))
        }
    }
}

/// Sends a request on a connection and waits for the response. Returns the slot and the request if
/// the connection was an idle one that the server had closed, and no byte was sent.
async fn exchange(
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    slot: Slot,
    connection: Connection,
    request: Request<Body>,
    started: Moment,
) -> Result<Outcome, Box<(Slot, Request<Body>)>> {
    let reused = connection.is_reused();
    let mut request = request;
    let remaining = routed.deadline.saturating_sub(context.now());
    request.headers_mut().insert(
        &context.headers.deadline,
        HeaderValue::from(remaining.as_millis() as u64),
    );
    let overdue = routed.latency_threshold(&context, OVERDUE_FACTOR, OVERDUE_MIN);
    let overdue = (started + overdue).saturating_sub(context.now());
    let response = receive(&context, &routed, Receiver::of(&slot), connection, request);
    let response = async {
        tokio::select! {
            response = response => Some(response),
            () = context.wait_until_due(routed.deadline) => None,
        }
    };
    tokio::pin!(response);
    let mut slot = slot;
    let result = tokio::select! {
        result = &mut response => result,
        () = tokio::time::sleep(overdue) => {
            slot.record_overdue();
            response.await
        }
    };
    match result {
        Some(Ok((idle_time, checked))) => {
            match idle_time {
                Some(idle_time) => slot.record_reuse(idle_time),
                None => slot.explain_reset(true),
            }
            Ok(finish_checked(&context, &routed, checked, slot, started).await)
        }
        Some(Err(SendError::NotSent { request, .. })) if reused => Err(Box::new((slot, *request))),
        Some(Err(err)) => Ok(finish_failed(&context, &routed, err, slot, started).await),
        None => Ok(time_out(&context, &routed, slot)),
    }
}

/// Ends an attempt with a response.
async fn finish_checked(
    context: &Arc<Context>,
    routed: &RoutedRequest,
    checked: CheckedResponse,
    slot: Slot,
    started: Moment,
) -> Outcome {
    let broken = matches!(checked, CheckedResponse::Broken(_));
    let investigation = broken.then(|| crash::investigate(&slot, started));
    let outcome = finish(context, routed, checked, slot, started);
    if let Some(investigation) = investigation {
        wait_for(investigation).await;
    }
    outcome
}

/// Ends an attempt without a response.
async fn finish_failed(
    context: &Context,
    routed: &RoutedRequest,
    err: SendError,
    slot: Slot,
    started: Moment,
) -> Outcome {
    match err {
        SendError::NotSent { request, reason } => {
            let err = io::Error::new(io::ErrorKind::ConnectionReset, reason);
            fail_unsent(context, routed, slot, *request, &err)
        }
        SendError::NoResponse { reason, idle_time } => {
            let took = context.now().saturating_sub(started);
            let investigation = crash::investigate(&slot, started);
            path::record_failure(context, &slot.assignment.server.name);
            let outcome = handle_reset(routed, slot, &reason, idle_time, took);
            wait_for(investigation).await;
            outcome
        }
    }
}

/// Ends an attempt that has no complete response at the request's deadline.
fn time_out(context: &Context, routed: &RoutedRequest, slot: Slot) -> Outcome {
    path::record_failure(context, &slot.assignment.server.name);
    let error = "no complete response before the deadline";
    log_failure(routed, &slot, "timeout", error);
    slot.release(AttemptOutcome::Timeout);
    Outcome::Indeterminate { reason: "timeout" }
}

/// Waits until it is known whether a server has ended, so that the request is not sent again before.
async fn wait_for(investigation: JoinHandle<()>) {
    if let Err(err) = investigation.await {
        line!(Event::AttemptFailed, error = err.to_string());
    }
}

/// Sends a request, and records what the response says about its server. Returns the response, and how
/// long the connection was idle before.
async fn receive(
    context: &Context,
    routed: &RoutedRequest,
    receiver: Receiver,
    connection: Connection,
    request: Request<Body>,
) -> Result<(Option<Duration>, CheckedResponse), SendError> {
    let sent = context.now();
    let response = connection.send(request).await?;
    let headers = response.headers();
    limit::observe(context, routed, receiver.key, headers, sent);
    leaving::observe(context, routed, &receiver, &response, sent);
    pause::observe(context, routed, receiver.key, response.status(), headers);
    let idle_time = response.body().idle_time();
    Ok((idle_time, checked::check(context, routed, response).await))
}

/// Ends an attempt of which no byte was sent.
fn fail_unsent(
    context: &Context,
    routed: &RoutedRequest,
    slot: Slot,
    request: Request<Body>,
    err: &io::Error,
) -> Outcome {
    log_failure(routed, &slot, "unreachable", &err.to_string());
    // Any other error is one of this instance, such as its limit of connections.
    let path_failed = err.kind() != io::ErrorKind::Other;
    if path_failed {
        path::record_failure(context, &slot.assignment.server.name);
    }
    slot.explain_reset(false);
    slot.release(AttemptOutcome::Failure(Evidence::Unreachable));
    Outcome::NotExecuted {
        reason: if path_failed {
            UNREACHABLE
        } else {
            "no_connection"
        },
        reached: false,
        body: Some(request.into_body()),
    }
}

/// Ends an attempt that is no longer due since the request was assigned to its server.
fn withdraw(
    routed: &RoutedRequest,
    slot: Slot,
    request: Request<Body>,
    error: &'static str,
) -> Outcome {
    log_failure(routed, &slot, "withdrawn", error);
    slot.release(AttemptOutcome::Inconclusive);
    Outcome::NotExecuted {
        reason: "withdrawn",
        reached: false,
        body: Some(request.into_body()),
    }
}

/// Ends an attempt whose connection was lost after `took`. `idle_time` is how long the connection
/// had been idle before the attempt; `None` for a new one.
fn handle_reset(
    routed: &RoutedRequest,
    slot: Slot,
    reason: &str,
    idle_time: Option<Duration>,
    took: Duration,
) -> Outcome {
    let evidence = match idle_time {
        Some(idle_time) if may_be_stale(idle_time, took) => {
            let reason = format!("{reason} after {} ms idle", idle_time.as_millis());
            log_failure(routed, &slot, "stale", &reason);
            slot.record_reset(idle_time);
            Evidence::Stale
        }
        _ => {
            if idle_time.is_none() {
                slot.explain_reset(false);
            }
            log_failure(routed, &slot, "cut", reason);
            Evidence::Cut
        }
    };
    slot.release(AttemptOutcome::Failure(evidence));
    Outcome::Indeterminate { reason: "cut" }
}

/// Logs an attempt that ended without a complete response.
fn log_failure(routed: &RoutedRequest, slot: &Slot, reason: &'static str, error: &str) {
    line!(
        Event::AttemptFailed,
        request = routed.id,
        service = routed.service,
        server = slot.assignment.server.name,
        reason = reason,
        error = error
    );
}

fn build_request(
    context: &Context,
    routed: &RoutedRequest,
    slot: &Slot,
    body: Body,
) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = routed.head.method.clone();
    let path = routed.head.uri.path_and_query();
    if let Some(path) = path {
        *request.uri_mut() = http::Uri::from(path.clone());
    }
    let mut headers = end_to_end(&routed.head.headers);
    headers.remove(http::header::EXPECT);
    let names = &context.headers;
    if let Ok(name) = HeaderValue::from_str(&slot.assignment.server.name) {
        headers.insert(&names.target, name);
    }
    team::name(&mut headers, routed.caller.as_ref(), &names.team);
    *request.headers_mut() = headers;
    request
}

fn finish(
    context: &Arc<Context>,
    routed: &RoutedRequest,
    checked: CheckedResponse,
    slot: Slot,
    started: Duration,
) -> Outcome {
    let took = context.now().saturating_sub(started);
    match checked {
        CheckedResponse::Buffered(response, reservation) => {
            crash::record_answer(context, routed);
            let failed = response.status().is_server_error();
            let outcome = if failed {
                AttemptOutcome::Failure(Evidence::Failed)
            } else {
                slot.success(took)
            };
            slot.release(outcome);
            let (mut parts, bytes) = response.into_parts();
            parts.headers = end_to_end(&parts.headers);
            let body = BufferedBody::new(bytes, reservation);
            let response = Response::from_parts(parts, body::boxed(body));
            if failed {
                Outcome::ServerError(response)
            } else {
                Outcome::Response(response)
            }
        }
        CheckedResponse::Streaming(response, prefix, reservation) => {
            let (mut parts, stream) = response.into_parts();
            parts.headers = end_to_end(&parts.headers);
            let remaining = routed.deadline.saturating_sub(context.now());
            let prefix = BufferedBody::new(prefix, reservation);
            let streamed = StreamedBody::new(prefix, stream, slot, started, took, remaining);
            Outcome::Response(Response::from_parts(parts, body::boxed(streamed)))
        }
        CheckedResponse::Shed => {
            log_failure(routed, &slot, "shed", "the server shed the request");
            slot.release(AttemptOutcome::Shed);
            not_executed("shed")
        }
        CheckedResponse::Misdirected => {
            let error = "another server uses the address";
            log_failure(routed, &slot, "misdirected", error);
            slot.release(AttemptOutcome::Misdirected);
            not_executed("misdirected")
        }
        CheckedResponse::Invalid(error) | CheckedResponse::Broken(error) => {
            log_failure(routed, &slot, "spoilt", &error);
            slot.release(AttemptOutcome::Failure(Evidence::Cut));
            Outcome::Indeterminate { reason: "spoilt" }
        }
    }
}

fn not_executed(reason: &'static str) -> Outcome {
    Outcome::NotExecuted {
        reason,
        reached: true,
        body: None,
    }
}
