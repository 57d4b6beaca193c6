//! Responses for refusals, and responses that are stored for repeated requests.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde::Serialize;
use wb_claim::StoredResponse;
use wb_claim::store::Header;
use wb_http::Body;
use wb_http::body;
use wb_types::id::RequestId;
use wb_types::outcome::Outcome;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::header;
use super::request_info::RequestInfo;

/// Value of `retry-after` on refusals, in seconds.
const RETRY_AFTER: &str = "1";

/// Body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Outcome,
    reason: Reason,
    request: &'a str,
}

/// Builds the response for a refusal.
pub fn from_refusal(id: &RequestId, refusal: Refusal) -> Response<Body> {
    let content = RefusalBody {
        outcome: refusal.outcome,
        reason: refusal.reason,
        request: id,
    };
    let text = serde_json::to_vec(&content).expect("a refusal is serialisable");
    let mut response = Response::new(body::full(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).expect("every reason has a valid status");
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(header::OUTCOME, static_value(refusal.outcome.into()));
    headers.insert(header::REASON, static_value(refusal.reason.into()));
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(header::REQUEST_ID, value);
    }
    if refusal.outcome == Outcome::NotRun && may_retry_later(refusal.reason) {
        headers.insert("retry-after", static_value(RETRY_AFTER));
    }
    response
}

fn static_value(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

/// Returns whether a later retry may succeed.
fn may_retry_later(reason: Reason) -> bool {
    matches!(reason.status(), 429 | 503 | 504)
}

/// Parses the refusal from the headers of an instance's response, if it is one.
pub fn parse_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let outcome = header::text(headers, header::OUTCOME)?.parse().ok()?;
    let reason = header::text(headers, header::REASON)?.parse().ok()?;
    Some(Refusal { outcome, reason })
}

/// Sets the request id on a response.
pub fn set_request_id(mut response: Response<Body>, info: &RequestInfo) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&info.id) {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
    response
}

/// Converts a complete response to the form that is stored for repeated requests.
pub fn to_stored(status: StatusCode, headers: &HeaderMap, body: bytes::Bytes) -> StoredResponse {
    let headers = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().to_owned(),
            value,
        })
    });
    StoredResponse {
        status: status.as_u16(),
        headers: headers.collect(),
        body,
    }
}

/// Builds a response from a stored one.
pub fn from_stored(stored: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
