//! End-to-end and hop-by-hop headers.

use http::HeaderMap;

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
