//! Sending requests and verifying responses.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use wb_entry::proxy::header;
use wb_entry::proxy::response;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::pool::ResponseBody;
use wb_http::pool::SendOptions;

use super::Caller;
use super::RequestOutcome;
use super::RequestSpec;
use super::expected_response;

/// Maximum number of connections to one instance.
const MAX_CONNECTIONS: u32 = 2000;

impl Caller {
    /// Sends a request to the first reachable address of its service.
    pub async fn send(&self, spec: &RequestSpec) -> RequestOutcome {
        let addresses = self.addresses(&spec.service).await;
        for address in addresses {
            match self.send_to(address, spec).await {
                RequestOutcome::Unsent => self.evict_addresses(&spec.service),
                outcome => return outcome,
            }
        }
        RequestOutcome::Unsent
    }

    /// Sends a request to one address, without discovery or retries.
    pub async fn send_to(&self, address: SocketAddr, spec: &RequestSpec) -> RequestOutcome {
        let options = SendOptions::new(MAX_CONNECTIONS, spec.order_id.is_none());
        let sent = self.pool.send(address, options, self.http_request(spec));
        let exchange = async {
            match sent.await {
                Ok(response) => {
                    let (parts, body) = response.into_parts();
                    read_response(spec, parts.status.as_u16(), &parts.headers, body).await
                }
                Err(SendError::NotSent { .. }) => RequestOutcome::Unsent,
                Err(SendError::NoResponse { .. }) => RequestOutcome::Lost,
            }
        };
        let ended = tokio::time::timeout(spec.timeout, exchange).await;
        ended.unwrap_or(RequestOutcome::Lost)
    }

    fn http_request(&self, spec: &RequestSpec) -> Request<Body> {
        let mut request = Request::builder()
            .method(spec.method.clone())
            .uri(&spec.path)
            .header("host", "fleet")
            .header("authorization", format!("Bearer {}", self.key))
            .header(header::SERVICE, &spec.service)
            .header("x-work-ms", spec.work_ms.to_string())
            .header("x-answer-bytes", spec.response_bytes.to_string());
        if let Some(class) = &spec.class {
            request = request.header(header::CLASS, class);
        }
        if let Some(order_id) = &spec.order_id {
            request = request.header("x-order", order_id);
        }
        if let Some(key) = &spec.idempotency_key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        request
            .body(body::full(spec.body.clone()))
            .expect("the parts of a request are valid")
    }
}

/// Reads a response and compares it with the expected one.
async fn read_response(
    spec: &RequestSpec,
    status: u16,
    headers: &HeaderMap,
    mut body: ResponseBody,
) -> RequestOutcome {
    if let Some(refusal) = response::parse_refusal(headers) {
        let _ = body.collect().await;
        return RequestOutcome::Refused(refusal.outcome, refusal.reason);
    }
    if status != 200 {
        let _ = body.collect().await;
        return RequestOutcome::Failed(status);
    }
    let expected: Bytes = expected_response(spec);
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return RequestOutcome::Lost;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let end = read + data.len();
        if expected.get(read..end) != Some(&data[..]) {
            return RequestOutcome::Wrong;
        }
        read = end;
    }
    if read == expected.len() {
        RequestOutcome::Good
    } else {
        RequestOutcome::Short
    }
}
