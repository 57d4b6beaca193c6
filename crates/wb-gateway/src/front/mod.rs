//! Requests of callers.
//!
//! - [`intake`]: which route a request takes, and how much time it has.
//! - [`payload`]: its body.
//! - [`forward`]: sends, and further sends where they are allowed.
//! - [`slot`]: slots at backend servers, taken and given back.
//! - [`attempt`]: one send.
//! - [`reply`]: what the caller is told.

pub mod attempt;
pub mod forward;
pub mod intake;
pub mod payload;
pub mod reply;
pub mod slot;

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
use crate::front::intake::Intake;
use crate::front::payload::Payload;
use crate::front::reply::Record;

/// Handles requests on the callers' listener.
pub struct Front(pub Arc<Context>);

impl Front {
    async fn route(&self, request: Request<RequestBody>) -> Response<Body> {
        let context = &self.0;
        let _active = ActiveGuard::new(&context.metrics.active);
        let (head, body) = request.into_parts();
        let id = intake::text(&head.headers, &context.headers.request_id).map(str::to_owned);
        let intake = match Intake::read(context, head) {
            Ok(intake) => Arc::new(intake),
            Err(rejection) => return reply::reject(context, None, id.as_deref(), &rejection),
        };
        let mut record = Record::new(context.clone(), intake.clone());
        let payload = match Payload::read(&intake, body).await {
            Ok(payload) => payload,
            Err(rejection) => {
                record.end("refused", rejection.reason);
                return reply::reject(context, Some(&intake), None, &rejection);
            }
        };
        forward::run(context, &intake, payload, &mut record).await
    }
}

impl Handler for Front {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let mut response = self.route(request).await;
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

    fn connection_failed(&self, peer: SocketAddr, why: &str) {
        line!(Event::ConnectionError, peer = peer, error = why);
    }
}
