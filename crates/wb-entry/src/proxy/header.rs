//! Names of headers.

use http::HeaderMap;
pub use wb_http::header::end_to_end;

/// Service that a caller asks for.
pub const SERVICE: &str = "x-service";
/// Class that a caller asks to be counted in.
pub const CLASS: &str = "x-class";
/// Ticket, or a key that the caller made up.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Says of a method that is not idempotent by itself that this request is.
pub const IDEMPOTENT: &str = "x-idempotent";
/// Time in milliseconds after which the answer has no worth.
pub const DEADLINE: &str = "x-deadline-ms";
/// Id of the request, on answers and towards backend servers.
pub const REQUEST_ID: &str = "x-request-id";
/// Caller, towards backend servers.
pub const CALLER: &str = "x-caller";
/// On refusals: whether the request was run.
pub const OUTCOME: &str = "x-outcome";
/// On refusals: why.
pub const REASON: &str = "x-reason";
/// A backend server sheds load.
pub const SHED: &str = "x-shed";
/// Load that a backend server reports.
pub const LOAD: &str = "x-load";
/// A backend server is leaving.
pub const LEAVING: &str = "x-leaving";
/// Token of work passed on.
pub const PEER_TOKEN: &str = "x-peer-token";
/// Hops of work passed on.
pub const PEER_HOPS: &str = "x-peer-hops";
/// Whether work passed on was counted against its limits.
pub const PEER_ADMITTED: &str = "x-peer-admitted";

/// Headers that only the fleet itself may set.
const OWN: [&str; 8] = [
    SERVICE,
    CLASS,
    IDEMPOTENCY_KEY,
    "authorization",
    CALLER,
    PEER_TOKEN,
    PEER_HOPS,
    PEER_ADMITTED,
];

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Headers of a caller's request that go on to a backend server.
pub fn to_backend(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    for name in OWN {
        kept.remove(name);
    }
    kept
}
