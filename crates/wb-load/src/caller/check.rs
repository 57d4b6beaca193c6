//! Expected responses.

use bytes::Bytes;
use wb_stand::backend::request_digest;
use wb_stand::backend::response_body;

use super::RequestSpec;

/// Response body that the stand-in backend server must give to a request.
pub fn expected_response(spec: &RequestSpec) -> Bytes {
    let order_id = spec.order_id.as_deref().unwrap_or_default();
    let digest = request_digest(spec.method.as_str(), &spec.path, order_id, &spec.body);
    response_body(&digest, spec.response_bytes)
}
