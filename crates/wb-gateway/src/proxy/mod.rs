//! Forwarding of callers' requests to backend servers.
//!
//! - [`routed`]: the route and deadline of a request.
//! - `team`: the team of its caller.
//! - [`allowance`]: the allowance of that team.
//! - [`payload`]: its body.
//! - [`forward`]: attempts, retries and hedged attempts.
//! - `hedging`: the hedged attempt of a request.
//! - [`slot`]: slots at backend servers.
//! - [`attempt`]: one attempt at one server.
//! - `checked`: the check of a response.
//! - [`claim`]: what the head of a response says about the request.
//! - [`request_key`]: when two requests are the same.
//! - [`crash`]: servers that end while they have a request.
//! - [`peer`]: requests that are passed on to another instance.
//! - [`limit`]: what a response says about the limit of its server.
//! - [`leaving`]: servers that say in a response that they are leaving.
//! - [`path`]: whether this instance reaches the servers.
//! - [`pause`]: pauses that servers ask for when they turn a request away.
//! - [`streamed`]: responses that are too large to buffer.
//! - [`response`]: responses of the daemon itself, and the log lines and metrics of a finished
//!   request.

pub mod allowance;
pub mod attempt;
pub mod buffers;
mod checked;
pub mod claim;
pub mod crash;
pub mod forward;
mod hedging;
pub mod leaving;
pub mod limit;
pub mod path;
pub mod pause;
pub mod payload;
pub mod peer;
pub mod request_key;
pub mod response;
pub mod routed;
pub mod slot;
pub mod streamed;
mod team;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use wb_event::Event;
use wb_event::line;
use wb_http::ActiveGuard;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::serve::Handler;

use crate::Context;
use crate::proxy::payload::Payload;
use crate::proxy::response::RequestRecord;
use crate::proxy::routed::Origin;
use crate::proxy::routed::RoutedRequest;

/// Handles requests on the callers' listener.
pub struct ProxyHandler(pub Arc<Context>);

impl ProxyHandler {
    /// Handles a request from a caller or another instance.
    pub async fn route(&self, request: Request<RequestBody>, origin: Origin) -> Response<Body> {
        let context = &self.0;
        let _active = ActiveGuard::new(&context.metrics.requests_active);
        let (head, body) = request.into_parts();
        let id = routed::header_text(&head.headers, &context.headers.request_id).map(str::to_owned);
        let routed = match RoutedRequest::read(context, head, origin) {
            Ok(routed) => Arc::new(routed),
            Err(rejection) => return response::reject(context, None, id.as_deref(), &rejection),
        };
        let mut record = RequestRecord::new(context.clone(), routed.clone());
        match allowance::admit(context, &routed).await {
            Ok(token) => record.set_token(token),
            Err(rejection) => {
                record.end("refused", rejection.reason);
                return response::reject(context, Some(&routed), None, &rejection);
            }
        }
        let payload = match Payload::read(&routed, &context.buffers, body).await {
            Ok(payload) => payload,
            Err(rejection) => {
                record.end("refused", rejection.reason);
                return response::reject(context, Some(&routed), None, &rejection);
            }
        };
        routed.set_key(request_key::of(&routed.head, &payload));
        forward::run(context, &routed, payload, &mut record).await
    }
}

impl Handler for ProxyHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let mut request = request;
            // Only instances may say that a request was passed on.
            Origin::take(request.headers_mut());
            team::take_passed(request.headers_mut());
            let mut response = self.route(request, Origin::Caller).await;
            if self.0.is_leaving() {
                let close = HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            response
        }
        .boxed()
    }

    fn connection_failed(&self, peer: SocketAddr, reason: &str) {
        line!(Event::ConnectionError, peer = peer, error = reason);
    }

    fn listener_unbounded(&self, reason: &str) {
        line!(Event::ConnectionError, error = reason);
    }
}
