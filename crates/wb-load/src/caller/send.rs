//! Sending requests.

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

use super::Ask;
use super::Caller;
use super::Fate;
use super::expected;

/// Connections to one instance.
const CONNECTIONS: u32 = 2000;

impl Caller {
    /// Sends a request to the first of the service's addresses that can be reached.
    pub async fn send(&self, ask: &Ask) -> Fate {
        let addresses = self.addresses(&ask.service).await;
        for address in addresses {
            match self.send_to(address, ask).await {
                Fate::Unsent => self.forget(&ask.service),
                fate => return fate,
            }
        }
        Fate::Unsent
    }

    /// Sends a request to an address.
    pub async fn send_to(&self, address: SocketAddr, ask: &Ask) -> Fate {
        let terms = SendOptions::new(CONNECTIONS, ask.order.is_none());
        let sent = self.pool.send(address, terms, self.request(ask));
        let exchange = async {
            match sent.await {
                Ok(reply) => {
                    let (parts, body) = reply.into_parts();
                    take(ask, parts.status.as_u16(), &parts.headers, body).await
                }
                Err(SendError::NotSent { .. }) => Fate::Unsent,
                Err(SendError::NoResponse { .. }) => Fate::Lost,
            }
        };
        let whole = tokio::time::timeout(ask.patience, exchange).await;
        whole.unwrap_or(Fate::Lost)
    }

    fn request(&self, ask: &Ask) -> Request<Body> {
        let mut request = Request::builder()
            .method(ask.method.clone())
            .uri(&ask.path)
            .header("host", "fleet")
            .header("authorization", format!("Bearer {}", self.key))
            .header(header::SERVICE, &ask.service)
            .header("x-work-ms", ask.work.to_string())
            .header("x-answer-bytes", ask.answer.to_string());
        if let Some(class) = &ask.class {
            request = request.header(header::CLASS, class);
        }
        if let Some(order) = &ask.order {
            request = request.header("x-order", order);
        }
        if let Some(key) = &ask.key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        request
            .body(body::full(ask.body.clone()))
            .expect("the parts of a request are valid")
    }
}

/// Reads an answer and compares it with the one that belongs to the request.
async fn take(ask: &Ask, status: u16, headers: &HeaderMap, mut answer: ResponseBody) -> Fate {
    if let Some(refusal) = response::parse_refusal(headers) {
        let _ = answer.collect().await;
        return Fate::Refused(refusal.outcome, refusal.reason);
    }
    if status != 200 {
        let _ = answer.collect().await;
        return Fate::Failed(status);
    }
    let wanted: Bytes = expected(ask);
    let mut read = 0;
    while let Some(frame) = answer.frame().await {
        let Ok(frame) = frame else {
            return Fate::Lost;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let end = read + data.len();
        if wanted.get(read..end) != Some(&data[..]) {
            return Fate::Wrong;
        }
        read = end;
    }
    if read == wanted.len() {
        Fate::Good
    } else {
        Fate::Short
    }
}
