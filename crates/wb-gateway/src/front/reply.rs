//! What the caller is told, and the record of it.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use wb_balance::Refusal;
use wb_balance::balancer::RETRY_AFTER_MIN;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::body;

use super::intake::Intake;
use super::intake::Rejection;
use crate::Context;
use crate::metrics::RequestLabels;

/// Answer of the daemon itself.
fn own(context: &Context, intake: Option<&Intake>, status: StatusCode) -> Response<Body> {
    let mut response = body::empty_response(status);
    if let Some(intake) = intake
        && let Ok(id) = HeaderValue::from_str(&intake.id)
    {
        response
            .headers_mut()
            .insert(&context.headers.request_id, id);
    }
    response
}

fn set_after(response: &mut Response<Body>, after: Duration) {
    let seconds = format!("{:.3}", after.max(RETRY_AFTER_MIN).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, value);
    }
}

/// Answers a request that can't be forwarded.
pub fn reject(
    context: &Context,
    intake: Option<&Intake>,
    id: Option<&str>,
    rejection: &Rejection,
) -> Response<Body> {
    if intake.is_none() {
        line!(
            Event::Refused,
            request = id,
            reason = rejection.reason,
            status = rejection.status.as_u16()
        );
        let labels = RequestLabels {
            service: String::new(),
            repeat: "",
            outcome: "refused",
            reason: rejection.reason,
        };
        context.metrics.requests.get_or_create(&labels).inc();
    }
    let mut response = own(context, intake, rejection.status);
    if let Some(after) = rejection.after {
        set_after(&mut response, after);
    }
    response
}

/// Answers a request that was not run and never will be.
pub fn refuse(context: &Context, intake: &Intake, refusal: &Refusal) -> Response<Body> {
    let mut response = own(context, Some(intake), StatusCode::SERVICE_UNAVAILABLE);
    set_after(&mut response, refusal.retry_after);
    response
}

/// Answers a request that may have been run.
pub fn fail(context: &Context, intake: &Intake, reason: &str) -> Response<Body> {
    let status = match reason {
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    own(context, Some(intake), status)
}

/// How a request ended; one that is dropped before its end was left by its caller, or cut at the
/// end of the process.
pub struct Record {
    context: Arc<Context>,
    intake: Arc<Intake>,
    ended: bool,
}

impl Record {
    /// A request that was taken in.
    pub fn new(context: Arc<Context>, intake: Arc<Intake>) -> Self {
        Self {
            context,
            intake,
            ended: false,
        }
    }

    fn took(&self) -> Duration {
        self.context.now().saturating_sub(self.intake.arrived)
    }

    /// Counts the end of the request.
    pub fn end(&mut self, outcome: &'static str, reason: &'static str) {
        self.ended = true;
        let labels = RequestLabels {
            service: self.intake.service.to_string(),
            repeat: self.intake.route.repeat.into(),
            outcome,
            reason,
        };
        let metrics = &self.context.metrics;
        metrics.requests.get_or_create(&labels).inc();
        let latency = metrics.latency.get_or_create(&labels);
        latency.observe(self.took().as_secs_f64());
    }

    /// A server's answer goes to the caller.
    pub fn answered(&mut self, status: StatusCode, sends: u32) {
        line!(
            Event::Answered,
            request = self.intake.id,
            route = self.intake.route.name,
            status = status.as_u16(),
            sends = sends,
            took_ms = self.took().as_millis() as u64
        );
        let reason = if status.is_server_error() {
            "server_failed"
        } else {
            ""
        };
        self.end("answered", reason);
    }

    /// The request was not run.
    pub fn refused(&mut self, refusal: &Refusal, last: &'static str, sends: u32) {
        let now = self.context.now();
        let mut state = self.context.state();
        let service = state.service(&self.intake.service, &self.context);
        let balancer = &mut service.balancer;
        line!(
            Event::Refused,
            request = self.intake.id,
            route = self.intake.route.name,
            waiting = balancer.queued_count(),
            usable = balancer.usable_count(),
            suspects = balancer.suspect_count(),
            budget = balancer.retry_budget().remaining(now),
            reason = refusal.cause.to_string(),
            last = last,
            sends = sends,
            after_ms = refusal.retry_after.as_millis() as u64,
            took_ms = self.took().as_millis() as u64
        );
        drop(state);
        self.end("refused", refusal.cause.into());
    }

    /// The request may have been run.
    pub fn failed(&mut self, reason: &'static str, sends: u32) {
        line!(
            Event::Failed,
            request = self.intake.id,
            route = self.intake.route.name,
            reason = reason,
            sends = sends,
            took_ms = self.took().as_millis() as u64
        );
        self.end("failed", reason);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let event = if self.context.is_closing() {
            Event::Cut
        } else {
            Event::CallerGone
        };
        line!(
            event,
            request = self.intake.id,
            route = self.intake.route.name,
            took_ms = self.took().as_millis() as u64
        );
        self.end("gone", "");
    }
}
