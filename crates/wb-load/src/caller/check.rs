//! Checking answers.

use bytes::Bytes;
use wb_stand::backend::digest;
use wb_stand::backend::filler;

use super::Ask;

/// The answer that belongs to a request.
pub fn expected(ask: &Ask) -> Bytes {
    let order = ask.order.as_deref().unwrap_or_default();
    let digest = digest(ask.method.as_str(), &ask.path, order, &ask.body);
    filler(&digest, ask.answer)
}
