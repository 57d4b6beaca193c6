//! End-to-end and hop-by-hop headers, and statuses that end a request.

use http::HeaderMap;
use http::StatusCode;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: all but the hop-by-hop ones and those that the sender lists in
/// `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get(http::header::CONNECTION);
    if let Some(named) = named.and_then(|value| value.to_str().ok()) {
        for name in named.split(',') {
            kept.remove(name.trim());
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Whether a status ends a request. A [`StatusCode`] may also be an interim one, or one that HTTP doesn't
/// define and that a faulty server sends.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
