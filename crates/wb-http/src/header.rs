//! Headers that go on from one connection to another.

use http::HeaderMap;

/// Headers that concern one connection only.
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

/// Headers that go on to the other side: all but those of one connection, by their own nature or
/// because the sender says so.
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
