//! HTTP API for operators, and metrics.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /ready` | 200, or 503 with what is missing |
//! | `GET /metrics` | metrics in the OpenMetrics text format |
//! | `GET /status` | [`Status`] |
//! | `GET /table` | the current policy table, as a delta from version 0 without callers |
//! | `POST /table` | validates and commits an edit; the outcome |
//! | `GET /edit/{id}` | the outcome of an edit |
//! | `GET /explain/{request}` | [`Explanation`] of a request |
//!
//! All but the first two require the operators' token.

mod explain;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use ractor::call_t;
use serde::Serialize;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve::Handler;
use wb_types::policy::Content;
use wb_types::policy::Edit;

use crate::Context;
use crate::policy_table::TableMessage;
use crate::proxy::header;

pub use explain::Explanation;
pub use status::Ready;
pub use status::ServiceStatus;
pub use status::Status;

/// Maximum size of an edit, in bytes.
const EDIT_MAX: usize = 4 * 1024 * 1024;
/// Idle timeout while reading the body of a request.
const IDLE: Duration = Duration::from_secs(5);
/// Longest wait for the decision of an edit, in milliseconds.
const EDIT_MS: u64 = 20_000;

/// Handles requests on the listener for operators.
pub struct OperatorHandler {
    context: Arc<Context>,
}

impl OperatorHandler {
    /// Creates a handler.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn route(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/ready" => return status::ready(&self.context),
            "/metrics" => return self.metrics(),
            _ => {}
        }
        let key = header::text(request.headers(), "authorization");
        let token = format!("Bearer {}", self.context.settings.tokens.operators);
        if key != Some(token.as_str()) {
            return text(StatusCode::UNAUTHORIZED, "the operators' token is needed");
        }
        if path == "/table" && request.method() == Method::POST {
            return self.edit(request.into_body()).await;
        }
        if path == "/table" {
            return self.table();
        }
        if path == "/status" {
            return json(&status::read(&self.context).await);
        }
        if let Some(id) = path.strip_prefix("/edit/") {
            return self.edit_state(id).await;
        }
        if let Some(id) = path.strip_prefix("/explain/") {
            return json(&explain::read(&self.context, id).await);
        }
        text(StatusCode::NOT_FOUND, "no such call")
    }

    fn metrics(&self) -> Response<Body> {
        let traffic = self.context.peers.traffic();
        let relaxed = std::sync::atomic::Ordering::Relaxed;
        let bytes = traffic.sent.load(relaxed) + traffic.received.load(relaxed);
        self.context.metrics.control_traffic.set(bytes as i64);
        text(StatusCode::OK, &self.context.metrics.render())
    }

    fn table(&self) -> Response<Body> {
        let mut delta = self.context.table().delta_since(0);
        delta
            .rows
            .retain(|row| !matches!(row.content, Content::Caller(_)));
        json(&delta)
    }

    async fn edit(&self, incoming: RequestBody) -> Response<Body> {
        let read = body::read(incoming, EDIT_MAX, IDLE).await;
        let Ok(bytes) = read else {
            return text(
                StatusCode::BAD_REQUEST,
                "the edit broke off or is too large",
            );
        };
        let edit: Edit = match serde_json::from_slice(&bytes) {
            Ok(edit) => edit,
            Err(err) => return text(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let actor = &self.context.actors().table;
        match call_t!(actor, TableMessage::Edit, EDIT_MS, Box::new(edit)) {
            Ok(outcome) => json(&outcome),
            Err(err) => text(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
        }
    }

    async fn edit_state(&self, id: &str) -> Response<Body> {
        let actor = &self.context.actors().table;
        match call_t!(actor, TableMessage::EditState, EDIT_MS, id.into()) {
            Ok(outcome) => json(&outcome),
            Err(err) => text(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
        }
    }
}

impl Handler for OperatorHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.route(request).await }.boxed()
    }
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(body::full(text.to_owned()));
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    json_with(StatusCode::OK, value)
}

fn json_with<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_string(value).expect("responses are serialisable");
    text(status, &body)
}
