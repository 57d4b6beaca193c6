//! Which addresses to use, and tickets.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_types::id::ServiceName;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::intake::known;
use super::response;
use crate::Context;

/// Start of the paths that the instance itself answers.
pub const PREFIX: &str = "/.fleet/";
/// Time for which callers may keep addresses.
const TTL: Duration = Duration::from_secs(5);
/// Tickets given at a time.
const TICKETS_MAX: usize = 100;

/// Addresses of a service for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// The service.
    pub service: ServiceName,
    /// Addresses, in the order in which to try them.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// Tickets for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tickets {
    /// Idempotency keys, each for one request.
    pub tickets: Vec<String>,
}

/// Answers a question about the fleet.
pub(super) fn respond(context: &Context, request: &Request<RequestBody>) -> Response<Body> {
    match try_respond(context, request) {
        Ok(response) => response,
        Err(reason) => response::from_refusal(&context.next_id(), Refusal::not_run(reason)),
    }
}

fn try_respond(
    context: &Context,
    request: &Request<RequestBody>,
) -> Result<Response<Body>, Reason> {
    let table = context.table();
    if table.version() == 0 && table.newer_rows().is_empty() {
        return Err(Reason::NoTable);
    }
    let caller = known(&table, request.headers()).ok_or(Reason::UnknownCaller)?;
    let question = request.uri().path().trim_start_matches(PREFIX);
    let query = request.uri().query().unwrap_or_default();
    match (request.method(), question) {
        (&Method::GET, "addresses") => addresses(context, query),
        (&Method::POST, "tickets") => tickets(context, &caller.caller, query),
        _ => Err(Reason::BadRequest),
    }
}

fn addresses(context: &Context, query: &str) -> Result<Response<Body>, Reason> {
    let service = query.strip_prefix("service=").ok_or(Reason::BadRequest)?;
    let table = context.table();
    let mut rows = table.rows();
    if !rows.any(|row| &*row.key.service == service) {
        return Err(Reason::UnknownService);
    }
    let naive = context.settings.fleet.naive;
    let homes = context.view().addresses(service, naive);
    let addresses = Addresses {
        service: service.into(),
        addresses: homes.iter().map(|home| home.callers).collect(),
        ttl_ms: TTL.as_millis() as u64,
    };
    Ok(json(&addresses))
}

fn tickets(
    context: &Context,
    caller: &wb_types::id::CallerName,
    query: &str,
) -> Result<Response<Body>, Reason> {
    let count = query.strip_prefix("count=").unwrap_or("1");
    let count: usize = count.parse().map_err(|_| Reason::BadRequest)?;
    let now = context.clock.now();
    let mut claims = context.claims.lock().expect("no holder panics");
    let issued = (0..count.min(TICKETS_MAX)).map_while(|_| claims.issue(caller, now));
    let tickets: Vec<String> = issued.map(|ticket| ticket.to_string()).collect();
    context.metrics.tickets.set(claims.len() as i64);
    if tickets.is_empty() {
        return Err(Reason::NoCapacity);
    }
    Ok(json(&Tickets { tickets }))
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers hold only serialisable types");
    let mut response = Response::new(body::full(text));
    *response.status_mut() = StatusCode::OK;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
