//! Proxy for requests of callers, and for requests that other instances forward.
//!
//! - [`request_info`]: authentication, policy row and deadline, from the head of a request.
//! - [`idempotency`]: at-most-once execution of requests that are not idempotent.
//! - [`retry`]: decision, attempt, and retries where they are allowed.
//! - [`backend`], [`home`]: one attempt at a backend server or at another home.
//! - [`outbound_body`], [`stream`]: buffered and streamed bodies.
//! - [`response`]: refusals and stored responses.
//! - [`fleet_api`]: addresses of a service, and tickets.
//! - [`header`]: names of headers.

pub mod backend;
pub mod fleet_api;
pub mod header;
pub mod home;
pub mod idempotency;
pub mod outbound_body;
pub mod request_info;
pub mod response;
pub mod retry;
pub mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use wb_event::Event;
use wb_event::emit;
use wb_http::ActiveGuard;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::serve::Handler;
use wb_types::outcome::Refusal;

use crate::Context;
use crate::metrics::RequestLabels;
use crate::proxy::request_info::RequestInfo;

/// Handles requests on the listener for callers.
pub struct Proxy {
    context: Arc<Context>,
}

impl Proxy {
    /// Creates a handler.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn route(&self, request: Request<RequestBody>) -> Response<Body> {
        let context = self.context.clone();
        let _active = ActiveGuard::new(&context.metrics.active);
        if request.uri().path().starts_with(fleet_api::PREFIX) {
            return fleet_api::respond(&context, &request);
        }
        let (parts, body) = request.into_parts();
        let info = match RequestInfo::read(&context, &parts) {
            Ok(info) => Arc::new(info),
            Err(refusal) => {
                let id = context.next_request_id();
                return response::from_refusal(&id, refusal);
            }
        };
        let result = idempotency::execute(&context, &info, parts, body).await;
        self.count(&info, &result);
        match result {
            Ok(response) => response::set_request_id(response, &info),
            Err(refusal) => response::from_refusal(&info.id, refusal),
        }
    }

    fn count(&self, info: &RequestInfo, result: &Result<Response<Body>, Refusal>) {
        let result = match result {
            Ok(response) => {
                let status = response.status();
                emit!(Event::Answered, "request={} status={status}", info.id);
                "answered".to_owned()
            }
            Err(refusal) => refusal.reason.to_string(),
        };
        let labels = RequestLabels {
            service: info.row.service.to_string(),
            class: info.row.class.to_string(),
            result,
        };
        self.context.metrics.requests.get_or_create(&labels).inc();
    }
}

impl Handler for Proxy {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.route(request).await }.boxed()
    }

    fn connection_failed(&self, peer: SocketAddr, reason: &str) {
        emit!(Event::ConnectionError, "peer={peer} error={reason}");
    }
}
