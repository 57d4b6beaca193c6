//! Names of headers, and functions to read and filter them.

use http::HeaderMap;
pub use wb_http::header::end_to_end;

/// Service that the caller requests.
pub const SERVICE: &str = "x-service";
/// Class of the policy row that the caller requests.
pub const CLASS: &str = "x-class";
/// Ticket, or an idempotency key chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` marks a request as idempotent although its method is not.
pub const IDEMPOTENT: &str = "x-idempotent";
/// Time after which the response is of no use to the caller, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Id of the request, on responses and on requests to backend servers.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the caller, on requests to backend servers.
pub const CALLER: &str = "x-caller";
/// On refusals: whether the request was run.
pub const OUTCOME: &str = "x-outcome";
/// On refusals: the reason.
pub const REASON: &str = "x-reason";
/// Set by a backend server that sheds the request.
pub const SHED: &str = "x-shed";
/// Slots in use, as reported by a backend server.
pub const LOAD: &str = "x-load";
/// Set by a backend server that is leaving.
pub const LEAVING: &str = "x-leaving";
/// Token that authenticates another instance, on forwarded requests.
pub const PEER_TOKEN: &str = "x-peer-token";
/// Number of times a request has been forwarded between instances.
pub const PEER_HOPS: &str = "x-peer-hops";
/// Set on forwarded requests that another home has already counted against the row's limits.
pub const PEER_ADMITTED: &str = "x-peer-admitted";

/// Headers that only the fleet may set on a request to a backend server; those of the caller are
/// removed.
const FLEET_HEADERS: [&str; 8] = [
    SERVICE,
    CLASS,
    IDEMPOTENCY_KEY,
    "authorization",
    CALLER,
    PEER_TOKEN,
    PEER_HOPS,
    PEER_ADMITTED,
];

/// Returns whether a response with these headers is to the request with this id. A faulty server may
/// send a response twice, and the second copy may arrive where the response to the next request is
/// expected. On a connection that was used before, a refusal is therefore believed only with the id.
pub fn is_response_to(id: &str, headers: &HeaderMap, reused: bool) -> bool {
    match text(headers, REQUEST_ID) {
        Some(echoed) => echoed == id,
        None => !(reused && headers.contains_key(SHED)),
    }
}

/// Returns a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Returns the headers of a caller's request that are forwarded to a backend server.
pub fn to_backend(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    for name in FLEET_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
