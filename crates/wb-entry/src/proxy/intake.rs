//! Who asks for what, from the request's head.

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

/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 200;

/// The idempotency key of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Key {
    /// A ticket of the fleet.
    Ticket(Ticket),
    /// A key that the caller made up.
    Own(String),
}

/// A request, as its head describes it.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Id of the request.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// Row that governs it.
    pub row: RowKey,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// When an answer loses its worth.
    pub deadline: Moment,
    /// Whether another instance passed it on.
    pub passed: bool,
    /// How often instances have passed it on.
    pub hops: u8,
    /// Whether another home has counted it against the row's limits.
    pub admitted: bool,
    /// Method and path.
    pub target: String,
    /// Method and first segment of the path.
    pub route: String,
    /// Size of the body, if it is known.
    pub size: Option<u64>,
}

/// Who a request comes from.
struct Sender {
    id: RequestId,
    caller: CallerName,
    row: RowKey,
    passed: bool,
}

impl Intake {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// A refusal; the request was not run.
    pub fn read(context: &Context, parts: &Parts) -> Result<Self, Refusal> {
        read(context, parts).map_err(Refusal::not_run)
    }

    /// The request as the queues see it.
    pub fn work(&self) -> QueuedRequest {
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

fn read(context: &Context, parts: &Parts) -> Result<Intake, Reason> {
    let table = context.table();
    if table.version() == 0 && table.newer_rows().is_empty() {
        return Err(Reason::NoTable);
    }
    let headers = &parts.headers;
    let service: ServiceName = header::text(headers, header::SERVICE)
        .ok_or(Reason::UnknownService)?
        .into();
    let sender = if headers.contains_key(header::PEER_TOKEN) {
        peer(context, headers, service)?
    } else {
        caller(context, &table, headers, service)?
    };
    let row = table.row(&sender.row)?;
    let asked = header::number(headers, header::DEADLINE).map(Duration::from_millis);
    let allowed = asked.unwrap_or(row.deadline).min(row.deadline);
    let hops = header::number(headers, header::PEER_HOPS).filter(|_| sender.passed);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Intake {
        idempotent: is_idempotent(&parts.method, headers),
        key: key(headers)?,
        deadline: context.clock.now() + allowed,
        hops: hops.unwrap_or(0).min(u64::from(u8::MAX)) as u8,
        admitted: sender.passed && headers.contains_key(header::PEER_ADMITTED),
        target: format!("{} {path}", parts.method),
        route: route(&parts.method, parts.uri.path()),
        size: size(parts),
        id: sender.id,
        caller: sender.caller,
        row: sender.row,
        passed: sender.passed,
    })
}

/// A caller, known by its key.
fn caller(
    context: &Context,
    table: &Table,
    headers: &HeaderMap,
    service: ServiceName,
) -> Result<Sender, Reason> {
    let row = known(table, headers).ok_or(Reason::UnknownCaller)?;
    let policy = table.row_for(row, &service, header::text(headers, header::CLASS))?;
    Ok(Sender {
        id: context.next_id(),
        caller: row.caller.clone(),
        row: policy.key.clone(),
        passed: false,
    })
}

/// The caller whose key a request carries.
pub fn known<'a>(table: &'a Table, headers: &HeaderMap) -> Option<&'a CallerRow> {
    let key = header::text(headers, "authorization")?.strip_prefix("Bearer ")?;
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    table.caller(&digest)
}

/// Another instance, which has checked the caller.
fn peer(context: &Context, headers: &HeaderMap, service: ServiceName) -> Result<Sender, Reason> {
    let token = header::text(headers, header::PEER_TOKEN);
    if token != Some(&context.settings.tokens.peers) {
        return Err(Reason::UnknownCaller);
    }
    let text = |name| header::text(headers, name).ok_or(Reason::BadRequest);
    Ok(Sender {
        id: text(header::REQUEST_ID)?.into(),
        caller: text(header::CALLER)?.into(),
        row: RowKey {
            service,
            class: text(header::CLASS)?.into(),
        },
        passed: true,
    })
}

fn is_idempotent(method: &Method, headers: &HeaderMap) -> bool {
    method.is_idempotent() || header::text(headers, header::IDEMPOTENT) == Some("true")
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, Reason> {
    let Some(value) = headers.get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::BadRequest)?;
    if text.is_empty() || text.len() > KEY_MAX {
        return Err(Reason::BadRequest);
    }
    Ok(Some(match text.parse() {
        Ok(ticket) => Key::Ticket(ticket),
        Err(_) => Key::Own(text.to_owned()),
    }))
}

fn route(method: &Method, path: &str) -> String {
    let first = path.trim_start_matches('/').split('/').next();
    format!("{method} {}", first.unwrap_or_default())
}

/// Size of the body; a request without a length has no body unless it is sent in chunks.
fn size(parts: &Parts) -> Option<u64> {
    if let Some(length) = header::number(&parts.headers, "content-length") {
        return Some(length);
    }
    let chunked = parts.headers.contains_key("transfer-encoding");
    let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
    (bodiless && !chunked).then_some(0)
}
