//! Checking answers.

use bytes::Bytes;
use wb_stand::backend::request_digest;
use wb_stand::backend::response_body;

use super::Ask;

/// The answer that belongs to a request.
pub fn expected(ask: &Ask) -> Bytes {
    let order = ask.order.as_deref().unwrap_or_default();
    let digest = request_digest(ask.method.as_str(), &ask.path, order, &ask.body);
    response_body(&digest, ask.answer)
}
