//! What the head of a response says about the request.

use http::StatusCode;
use wb_http::header::is_final;
use wb_http::pool::PooledResponse;

use super::routed::RoutedRequest;
use super::routed::header_text;
use crate::Context;

/// What the head of a response says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The server executed the request.
    Answered,
    /// The server shed the request without executing it.
    Shed,
    /// Another server got the request, and did not execute it.
    Misdirected,
    /// Nothing that can be believed, for this reason: the request may have been executed.
    Invalid(&'static str),
}

impl Claim {
    /// Reads the head of a response to a request. A faulty server may send a response twice, and the
    /// second copy may arrive where the response to the next request is expected. So a response on a
    /// connection that was used before, and one that says that the request was not executed, is only
    /// believed if it carries the request's id.
    pub fn of(context: &Context, routed: &RoutedRequest, response: &PooledResponse) -> Self {
        let names = &context.headers;
        let headers = response.headers();
        let status = response.status();
        if !is_final(status) {
            return Self::Invalid("status that ends no request");
        }
        let echoed = header_text(headers, &names.request_id);
        if echoed.is_some_and(|echoed| echoed != routed.id) {
            return Self::Invalid("response carries another request id");
        }
        if echoed.is_none() && response.body().idle_time().is_some() {
            return Self::Invalid(
                "response without request id on a connection that was used before",
            );
        }
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let not_executed = headers.contains_key(&names.not_executed);
        if (misdirected || not_executed) && echoed.is_none() {
            return Self::Invalid("refusal without request id");
        }
        if misdirected {
            return Self::Misdirected;
        }
        if not_executed {
            return Self::Shed;
        }
        if is_refusal(status) {
            return Self::Invalid("status of a refusal, but not marked as not executed");
        }
        if status.is_success() && (echoed.is_none() || !headers.contains_key(&names.signature)) {
            return Self::Invalid("success without request id or signature");
        }
        Self::Answered
    }
}

/// Whether callers take the status as a promise that the request was not executed.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
