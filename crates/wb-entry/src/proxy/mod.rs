//! Requests of callers, and work that other instances pass on.
//!
//! - [`intake`]: who asks for what, from the request's head.
//! - [`claim`]: tickets around work that must not repeat.
//! - [`run`]: decision, attempt, and another attempt where that is allowed.
//! - [`backend`], [`home`]: one attempt at a backend server, or at another home.
//! - [`payload`], [`stream`]: bodies on their way in and out.
//! - [`response`]: refusals and whole answers.
//! - [`fleet_api`]: which addresses to use, and tickets.

pub mod backend;
pub mod claim;
pub mod fleet_api;
pub mod header;
pub mod home;
pub mod intake;
pub mod payload;
pub mod response;
pub mod run;
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
use crate::metrics::AnswerLabels;
use crate::proxy::intake::Intake;

/// Handles requests on the callers' listener.
pub struct Proxy {
    context: Arc<Context>,
}

impl Proxy {
    /// A handler for a daemon.
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
        let intake = match Intake::read(&context, &parts) {
            Ok(intake) => Arc::new(intake),
            Err(refusal) => {
                let id = context.next_id();
                return response::from_refusal(&id, refusal);
            }
        };
        let result = claim::guard(&context, &intake, parts, body).await;
        self.count(&intake, &result);
        match result {
            Ok(response) => response::set_request_id(response, &intake),
            Err(refusal) => response::from_refusal(&intake.id, refusal),
        }
    }

    fn count(&self, intake: &Intake, result: &Result<Response<Body>, Refusal>) {
        let result = match result {
            Ok(response) => {
                let status = response.status();
                emit!(Event::Answered, "request={} status={status}", intake.id);
                "answered".to_owned()
            }
            Err(refusal) => refusal.reason.to_string(),
        };
        let labels = AnswerLabels {
            service: intake.row.service.to_string(),
            class: intake.row.class.to_string(),
            result,
        };
        self.context.metrics.answers.get_or_create(&labels).inc();
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

    fn connection_failed(&self, peer: SocketAddr, why: &str) {
        emit!(Event::ConnectionError, "peer={peer} error={why}");
    }
}
