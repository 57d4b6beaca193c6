//! Responses of the daemon itself, and the log lines and metrics of a finished request.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use wb_balance::Refusal;
use wb_balance::balancer::RETRY_AFTER_MIN;
use wb_balance::balancer::RefusalCause;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::body;

use super::allowance::Token;
use super::peer;
use super::request_key;
use super::routed::Rejection;
use super::routed::RoutedRequest;
use crate::Context;
use crate::metrics::RequestLabels;

/// Builds a response of the daemon itself.
fn local_response(
    context: &Context,
    routed: Option<&RoutedRequest>,
    status: StatusCode,
) -> Response<Body> {
    let mut response = body::empty_response(status);
    if let Some(routed) = routed
        && let Ok(id) = HeaderValue::from_str(&routed.id)
    {
        response
            .headers_mut()
            .insert(&context.headers.request_id, id);
    }
    response
}

fn set_retry_after(response: &mut Response<Body>, after: Duration) {
    let seconds = format!("{:.3}", after.max(RETRY_AFTER_MIN).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, value);
    }
}

/// Answers a request that can't be forwarded.
pub fn reject(
    context: &Context,
    routed: Option<&RoutedRequest>,
    id: Option<&str>,
    rejection: &Rejection,
) -> Response<Body> {
    if routed.is_none() {
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
    let mut response = local_response(context, routed, rejection.status);
    if let Some(after) = rejection.retry_after {
        set_retry_after(&mut response, after);
    }
    response
}

/// Answers a request that was not executed and won't be.
pub fn refuse(context: &Context, routed: &RoutedRequest, refusal: &Refusal) -> Response<Body> {
    let mut response = local_response(context, Some(routed), StatusCode::SERVICE_UNAVAILABLE);
    set_retry_after(&mut response, refusal.retry_after);
    if refusal.cause == RefusalCause::Unreachable {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(peer::UNREACHABLE, value);
    }
    response
}

/// Answers a request that may have been executed.
pub fn fail(context: &Context, routed: &RoutedRequest, reason: &str) -> Response<Body> {
    let status = match reason {
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    local_response(context, Some(routed), status)
}

/// Logs and counts the end of a request. If it is dropped before, the caller has disconnected, or
/// the request was cut at the end of the process.
pub struct RequestRecord {
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    /// Token of its team's allowance; `None` if it needs none.
    token: Option<Token>,
    ended: bool,
}

impl RequestRecord {
    /// Starts the record of a request whose head was accepted.
    pub fn new(context: Arc<Context>, routed: Arc<RoutedRequest>) -> Self {
        Self {
            context,
            routed,
            token: None,
            ended: false,
        }
    }

    /// Sets the token of its team's allowance, which is given back if the request is refused.
    pub fn set_token(&mut self, token: Option<Token>) {
        self.token = token;
    }

    fn took(&self) -> Duration {
        self.context.now().saturating_sub(self.routed.arrived)
    }

    /// Counts the end of the request.
    pub fn end(&mut self, outcome: &'static str, reason: &'static str) {
        self.ended = true;
        if outcome != "refused"
            && let Some(token) = &mut self.token
        {
            token.spend();
        }
        let labels = RequestLabels {
            service: self.routed.service.to_string(),
            repeat: self.routed.route.repeat.into(),
            outcome,
            reason,
        };
        let metrics = &self.context.metrics;
        metrics.requests.get_or_create(&labels).inc();
        let latency = metrics.latency.get_or_create(&labels);
        latency.observe(self.took().as_secs_f64());
    }

    /// Records that a server's response is passed to the caller, and how many attempts it took.
    pub fn answered(&mut self, status: StatusCode, attempts: u32) {
        line!(
            Event::Answered,
            request = self.routed.id,
            route = self.routed.route.name,
            team = self.routed.team(),
            status = status.as_u16(),
            sends = attempts,
            took_ms = self.took().as_millis() as u64
        );
        let reason = if status.is_server_error() {
            "server_failed"
        } else {
            ""
        };
        self.end("answered", reason);
    }

    /// Records that the request was refused without being executed. `last` is the reason of the
    /// last failed attempt, empty if there was none.
    pub fn refused(&mut self, refusal: &Refusal, last: &'static str, attempts: u32) {
        let now = self.context.now();
        let mut state = self.context.state();
        let service = state.service(&self.routed.service, &self.context);
        let balancer = &mut service.balancer;
        line!(
            Event::Refused,
            request = self.routed.id,
            route = self.routed.route.name,
            team = self.routed.team(),
            waiting = balancer.queued_count(),
            ahead = refusal.ahead,
            over_share = refusal.over_share,
            usable = balancer.usable_count(),
            suspects = balancer.suspect_count(),
            budget = balancer.retry_budget().remaining(now),
            reason = refusal.cause.to_string(),
            key = held_key(&self.routed, refusal),
            last = last,
            sends = attempts,
            after_ms = refusal.retry_after.as_millis() as u64,
            took_ms = self.took().as_millis() as u64
        );
        drop(state);
        self.end("refused", refusal.cause.into());
    }

    /// Records that the request failed and may have been executed.
    pub fn failed(&mut self, reason: &'static str, attempts: u32) {
        line!(
            Event::Failed,
            request = self.routed.id,
            route = self.routed.route.name,
            team = self.routed.team(),
            reason = reason,
            sends = attempts,
            took_ms = self.took().as_millis() as u64
        );
        self.end("failed", reason);
    }
}

/// Key of a request that is held, by which its evidence is found in the log.
fn held_key(routed: &RoutedRequest, refusal: &Refusal) -> Option<String> {
    let key = routed.key()?;
    (refusal.cause == RefusalCause::Quarantined).then(|| request_key::text(key))
}

impl Drop for RequestRecord {
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
            request = self.routed.id,
            route = self.routed.route.name,
            took_ms = self.took().as_millis() as u64
        );
        self.end("gone", "");
    }
}
