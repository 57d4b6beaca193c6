//! Duration of a request and the expected response, both determined by the request.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use sha2::Digest;
use sha2::Sha256;

/// Header with the duration of the request, in milliseconds.
pub const WORK_MS: &str = "x-work-ms";
/// Header with the length of the response, in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// Header with the id of an order.
pub const ORDER: &str = "x-order";
/// Duration of a request without the header.
const DEFAULT_WORK: Duration = Duration::from_millis(2);
/// Maximum length of a response, in bytes.
const RESPONSE_MAX: usize = 64 * 1024 * 1024;

/// Returns the hex digest of a request's method, path, order and body. The response starts with it,
/// so that the sender can check that it belongs to the request.
pub fn request_digest(method: &str, path: &str, order: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(order.as_bytes());
    hasher.update([0]);
    hasher.update(Sha256::digest(body));
    finish_hex(hasher)
}

pub(super) fn finish_hex(hasher: Sha256) -> String {
    let digest = hasher.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a response body that repeats the digest up to `length` bytes, and has it at least once.
pub fn response_body(digest: &str, length: usize) -> Bytes {
    let length = length.clamp(digest.len(), RESPONSE_MAX);
    let mut bytes = digest.as_bytes().repeat(length.div_ceil(digest.len()));
    bytes.truncate(length);
    bytes.into()
}

/// Returns the duration that a request asks for.
pub(super) fn work_duration(headers: &HeaderMap) -> Duration {
    number(headers, WORK_MS).map_or(DEFAULT_WORK, |millis| {
        Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(DEFAULT_WORK)
    })
}

/// Returns the length of the response that a request asks for, in bytes.
pub(super) fn response_length(headers: &HeaderMap) -> usize {
    number(headers, ANSWER_BYTES).map_or(0, |bytes| bytes as usize)
}

fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
