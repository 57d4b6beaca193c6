//! Endpoints of the instance itself: addresses of a service, and tickets.

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

use super::request_info::authenticate;
use super::response;
use crate::Context;

/// Path prefix of the requests that the instance answers itself.
pub const PREFIX: &str = "/.fleet/";
/// Time for which callers may cache addresses.
const TTL: Duration = Duration::from_secs(5);
/// Maximum number of tickets in one response.
const TICKETS_PER_RESPONSE: usize = 100;

/// Addresses at which callers reach a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Name of the service.
    pub service: ServiceName,
    /// Addresses of instances, in the order in which to try them.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the addresses may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// Tickets for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tickets {
    /// Idempotency keys, each valid for one request.
    pub tickets: Vec<String>,
}

/// Responds to a request whose path starts with [`PREFIX`].
pub(super) fn respond(context: &Context, request: &Request<RequestBody>) -> Response<Body> {
    match try_respond(context, request) {
        Ok(response) => response,
        Err(reason) => response::from_refusal(&context.next_request_id(), Refusal::not_run(reason)),
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
    let caller = authenticate(&table, request.headers()).ok_or(Reason::UnknownCaller)?;
    let endpoint = request.uri().path().trim_start_matches(PREFIX);
    let query = request.uri().query().unwrap_or_default();
    match (request.method(), endpoint) {
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
    let mut store = context.tickets.lock().expect("lock is not poisoned");
    let issued = (0..count.min(TICKETS_PER_RESPONSE)).map_while(|_| store.issue(caller, now));
    let tickets: Vec<String> = issued.map(|ticket| ticket.to_string()).collect();
    context.metrics.tickets.set(store.len() as i64);
    if tickets.is_empty() {
        return Err(Reason::NoCapacity);
    }
    Ok(json(&Tickets { tickets }))
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("responses are serialisable");
    let mut response = Response::new(body::full(text));
    *response.status_mut() = StatusCode::OK;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
