//! When two requests are the same, whatever attempt of a caller and whatever instance they come by.

use http::header::CONTENT_LENGTH;
use http::request::Parts;
use sha2::Digest;
use sha2::Sha256;
use wb_types::id::RequestKey;

use super::payload::Payload;
use super::routed::header_text;
use super::routed::host;

/// Marks the digest of a request whose body is not known before it is sent.
const STREAMED: &[u8] = b"streamed";

/// Returns the digest of a request's method, host, path with query and body. Of a streamed body, only
/// the announced length counts. The caller does not: callers share addresses, and no header names
/// them.
pub fn of(head: &Parts, payload: &Payload) -> RequestKey {
    let path = head.uri.path_and_query();
    let path = path.map_or_else(|| head.uri.path(), |path| path.as_str());
    let host = host(head).to_ascii_lowercase();
    let mut hasher = Sha256::new();
    let mut add = |part: &[u8]| {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    };
    add(head.method.as_str().as_bytes());
    add(host.as_bytes());
    add(path.as_bytes());
    match payload.buffered() {
        Some(bytes) => add(bytes),
        None => {
            let length = header_text(&head.headers, &CONTENT_LENGTH);
            add(length.unwrap_or_default().as_bytes());
            add(STREAMED);
        }
    }
    let digest = hasher.finalize();
    let (key, _) = digest.split_at(size_of::<RequestKey>());
    RequestKey::from_be_bytes(key.try_into().expect("the digest is longer than a key"))
}

/// Text of a key in log lines.
pub fn text(key: RequestKey) -> String {
    format!("{key:032x}")
}
