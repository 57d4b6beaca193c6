//! Properties read from the head of a request: caller, policy row, deadline and idempotency.

use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::request::Parts;
use sha2::Digest;
use sha2::Sha256;
use wb_claim::Ticket;
use wb_table::Table;
use wb_types::id::CallerName;
use wb_types::id::Moment;
use wb_types::id::RequestId;
use wb_types::id::ServiceName;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;
use wb_types::policy::CallerRow;
use wb_types::policy::RowKey;
use wb_types::request::ExpectedDuration;
use wb_types::request::QueuedRequest;

use super::header;
use crate::Context;

/// Maximum length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 200;

/// Idempotency key of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyKey {
    /// A ticket issued by the fleet.
    Ticket(Ticket),
    /// A key chosen by the caller.
    CallerChosen(String),
}

/// Properties of a request, read from its head.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Id of the request.
    pub id: RequestId,
    /// Caller that sent it.
    pub caller: CallerName,
    /// Policy row that applies to it.
    pub row: RowKey,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Idempotency key, if it has one.
    pub key: Option<IdempotencyKey>,
    /// Time after which the response is of no use to the caller.
    pub deadline: Moment,
    /// Whether another instance forwarded it.
    pub forwarded: bool,
    /// Number of times it has been forwarded between instances.
    pub hops: u8,
    /// Whether another home has already counted it against the row's limits.
    pub admitted: bool,
    /// Method, path and query.
    pub target: String,
    /// Method and first segment of the path.
    pub route: String,
    /// Size of the body in bytes, if known.
    pub size: Option<u64>,
}

/// Authenticated sender of a request, and the policy row.
struct Identity {
    id: RequestId,
    caller: CallerName,
    row: RowKey,
    forwarded: bool,
}

impl RequestInfo {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// A refusal; the request was not run.
    pub fn read(context: &Context, parts: &Parts) -> Result<Self, Refusal> {
        read(context, parts).map_err(Refusal::not_run)
    }

    /// Returns the request in the form that the dispatcher queues.
    pub fn to_queued(&self) -> QueuedRequest {
        QueuedRequest {
            id: self.id.clone(),
            row: self.row.clone(),
            caller: self.caller.clone(),
            idempotent: self.idempotent,
            duration: ExpectedDuration::Short,
            deadline: self.deadline,
            hops: self.hops,
            admitted: self.admitted,
        }
    }
}

fn read(context: &Context, parts: &Parts) -> Result<RequestInfo, Reason> {
    let table = context.table();
    if table.version() == 0 && table.newer_rows().is_empty() {
        return Err(Reason::NoTable);
    }
    let headers = &parts.headers;
    let service: ServiceName = header::text(headers, header::SERVICE)
        .ok_or(Reason::UnknownService)?
        .into();
    let identity = if headers.contains_key(header::PEER_TOKEN) {
        identify_peer(context, headers, service)?
    } else {
        identify_caller(context, &table, headers, service)?
    };
    let row = table.row(&identity.row)?;
    let requested = header::number(headers, header::DEADLINE).map(Duration::from_millis);
    let allowed = requested.unwrap_or(row.deadline).min(row.deadline);
    let hops = header::number(headers, header::PEER_HOPS).filter(|_| identity.forwarded);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(RequestInfo {
        idempotent: is_idempotent(&parts.method, headers),
        key: idempotency_key(headers)?,
        deadline: context.clock.now() + allowed,
        hops: hops.unwrap_or(0).min(u64::from(u8::MAX)) as u8,
        admitted: identity.forwarded && headers.contains_key(header::PEER_ADMITTED),
        target: format!("{} {path}", parts.method),
        route: route(&parts.method, parts.uri.path()),
        size: body_size(parts),
        id: identity.id,
        caller: identity.caller,
        row: identity.row,
        forwarded: identity.forwarded,
    })
}

/// Identifies a caller by its key.
fn identify_caller(
    context: &Context,
    table: &Table,
    headers: &HeaderMap,
    service: ServiceName,
) -> Result<Identity, Reason> {
    let row = authenticate(table, headers).ok_or(Reason::UnknownCaller)?;
    let policy = table.row_for(row, &service, header::text(headers, header::CLASS))?;
    Ok(Identity {
        id: context.next_request_id(),
        caller: row.caller.clone(),
        row: policy.key.clone(),
        forwarded: false,
    })
}

/// Returns the caller whose key a request carries.
pub fn authenticate<'a>(table: &'a Table, headers: &HeaderMap) -> Option<&'a CallerRow> {
    let key = header::text(headers, "authorization")?.strip_prefix("Bearer ")?;
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    table.caller(&digest)
}

/// Identifies another instance by its token. The instance has authenticated the caller.
fn identify_peer(
    context: &Context,
    headers: &HeaderMap,
    service: ServiceName,
) -> Result<Identity, Reason> {
    let token = header::text(headers, header::PEER_TOKEN);
    if token != Some(&context.settings.tokens.peers) {
        return Err(Reason::UnknownCaller);
    }
    let text = |name| header::text(headers, name).ok_or(Reason::BadRequest);
    Ok(Identity {
        id: text(header::REQUEST_ID)?.into(),
        caller: text(header::CALLER)?.into(),
        row: RowKey {
            service,
            class: text(header::CLASS)?.into(),
        },
        forwarded: true,
    })
}

fn is_idempotent(method: &Method, headers: &HeaderMap) -> bool {
    method.is_idempotent() || header::text(headers, header::IDEMPOTENT) == Some("true")
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Reason> {
    let Some(value) = headers.get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::BadRequest)?;
    if text.is_empty() || text.len() > KEY_BYTES_MAX {
        return Err(Reason::BadRequest);
    }
    Ok(Some(match text.parse() {
        Ok(ticket) => IdempotencyKey::Ticket(ticket),
        Err(_) => IdempotencyKey::CallerChosen(text.to_owned()),
    }))
}

fn route(method: &Method, path: &str) -> String {
    let first = path.trim_start_matches('/').split('/').next();
    format!("{method} {}", first.unwrap_or_default())
}

/// Returns the size of the body in bytes, if known. `GET`, `HEAD` and `DELETE` requests without
/// `content-length` and `transfer-encoding` have no body.
fn body_size(parts: &Parts) -> Option<u64> {
    if let Some(length) = header::number(&parts.headers, "content-length") {
        return Some(length);
    }
    let chunked = parts.headers.contains_key("transfer-encoding");
    let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
    (bodiless && !chunked).then_some(0)
}
