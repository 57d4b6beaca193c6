//! Refusals and whole answers.

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
use super::intake::Intake;

/// Time after which a caller may try again, in seconds.
const RETRY_AFTER: &str = "1";

/// Body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Outcome,
    reason: Reason,
    request: &'a str,
}

/// The answer that tells a refusal.
pub fn from_refusal(id: &RequestId, refusal: Refusal) -> Response<Body> {
    let content = RefusalBody {
        outcome: refusal.outcome,
        reason: refusal.reason,
        request: id,
    };
    let text = serde_json::to_vec(&content).expect("a refusal holds only texts");
    let mut response = Response::new(body::full(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).expect("reasons have valid statuses");
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(header::OUTCOME, fixed(refusal.outcome.into()));
    headers.insert(header::REASON, fixed(refusal.reason.into()));
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(header::REQUEST_ID, value);
    }
    if refusal.outcome == Outcome::NotRun && helps(refusal.reason) {
        headers.insert("retry-after", fixed(RETRY_AFTER));
    }
    response
}

fn fixed(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

/// Whether trying again later helps.
fn helps(reason: Reason) -> bool {
    matches!(reason.status(), 429 | 503 | 504)
}

/// The refusal that an answer of another instance tells, if it is one.
pub fn parse_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let outcome = header::text(headers, header::OUTCOME)?.parse().ok()?;
    let reason = header::text(headers, header::REASON)?.parse().ok()?;
    Some(Refusal { outcome, reason })
}

/// Adds the request's id to an answer.
pub fn set_request_id(mut response: Response<Body>, intake: &Intake) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&intake.id) {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
    response
}

/// A whole answer, as it is kept for repeated requests.
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

/// An answer that was kept.
pub fn from_stored(answer: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
