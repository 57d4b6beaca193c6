//! What a request asks for, and the answer that belongs to it.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use sha2::Digest;
use sha2::Sha256;

/// Header with the time that the work takes, in milliseconds.
pub const WORK_MS: &str = "x-work-ms";
/// Header with the length of the answer, in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// Header with the id of an order.
pub const ORDER: &str = "x-order";
/// Default time of work.
const WORK: Duration = Duration::from_millis(2);
/// Largest answer.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Digest of a request: method, path, order and body. It is the start of the answer, in hex.
pub fn request_digest(method: &str, path: &str, order: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(order.as_bytes());
    hasher.update([0]);
    hasher.update(Sha256::digest(body));
    finish(hasher)
}

pub(super) fn finish(hasher: Sha256) -> String {
    let digest = hasher.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// An answer of a length that starts with a digest and repeats it.
pub fn response_body(digest: &str, length: usize) -> Bytes {
    let length = length.clamp(digest.len(), ANSWER_MAX);
    let mut bytes = digest.as_bytes().repeat(length.div_ceil(digest.len()));
    bytes.truncate(length);
    bytes.into()
}

/// Time that a request's work takes.
pub(super) fn work_time(headers: &HeaderMap) -> Duration {
    number(headers, WORK_MS).map_or(WORK, |millis| {
        Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(WORK)
    })
}

/// Length of the answer that a request asks for.
pub(super) fn answer_length(headers: &HeaderMap) -> usize {
    number(headers, ANSWER_BYTES).map_or(0, |bytes| bytes as usize)
}

fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
