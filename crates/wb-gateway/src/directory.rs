//! Endpoints that name addresses for callers, report readiness and export metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve::Handler;

use crate::Context;

/// Time for which callers cache an answer: long enough that queries cost little, short enough that
/// callers move away soon from a home that failed.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Answers readiness checks of the platform and directory queries of callers.
pub struct DirectoryHandler(pub Arc<Context>);

impl DirectoryHandler {
    fn respond(&self, request: &Request<RequestBody>) -> Response<Body> {
        let context = &self.0;
        if context.api.is_readiness_check(request.uri()) {
            return self.ready();
        }
        let Some(query) = context.api.parse_query(request.uri()) else {
            return body::empty_response(StatusCode::NOT_FOUND);
        };
        let state = context.state();
        let addresses = state.steering.caller_addresses(context.now());
        let ttl = ANSWER_TTL.min(context.settings.bounds.keep);
        line!(
            Event::Resolved,
            host = query.host,
            domain = query.domain,
            addresses = addresses
        );
        let mut response = Response::new(body::full(context.api.encode_addresses(&addresses, ttl)));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", json);
        response
    }

    fn ready(&self) -> Response<Body> {
        let state = self.0.state();
        let loaded = state.routes.is_some() && state.listing.read_version().is_some();
        if loaded && !self.0.is_leaving() {
            body::empty_response(StatusCode::OK)
        } else {
            body::empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

impl Handler for DirectoryHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let response = self.respond(&request);
        async move { response }.boxed()
    }
}

/// Serves the metrics.
pub struct MetricsHandler(pub Arc<Context>);

impl Handler for MetricsHandler {
    fn handle(
        self: Arc<Self>,
        _request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let text = self.0.metrics.encode_text();
        async move { Response::new(body::full(text)) }.boxed()
    }
}
