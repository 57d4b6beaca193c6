//! Pauses that servers ask for when they turn a request away.

use http::HeaderMap;
use http::StatusCode;
use http::header::RETRY_AFTER;
use wb_balance::ServerKey;
use wb_balance::pause;
use wb_event::Event;
use wb_event::line;

use super::routed::RoutedRequest;
use super::routed::header_text;
use crate::Context;

/// Records for how long a server wants nothing more, as its response to a request says.
pub fn observe(
    context: &Context,
    routed: &RoutedRequest,
    server: ServerKey,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let turns_away = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let names = &context.headers;
    if !turns_away || header_text(headers, &names.request_id) != Some(routed.id.as_str()) {
        return;
    }
    let values = headers.get_all(RETRY_AFTER).iter();
    // A value that is not text is no number either.
    let pause = match pause::parse(values.map(|value| value.to_str().unwrap_or("?"))) {
        Ok(Some(pause)) => pause,
        Ok(None) => return,
        Err(err) => {
            line!(
                Event::ServerPause,
                service = routed.service,
                request = routed.id,
                error = err.to_string()
            );
            return;
        }
    };
    let now = context.now();
    let mut state = context.state();
    let Some(service) = state.services.get_mut(&routed.service) else {
        return;
    };
    if service.balancer.pause(server, pause, now) {
        line!(
            Event::ServerPause,
            service = routed.service,
            request = routed.id,
            pause_ms = pause.as_millis() as u64,
            paused = service.balancer.paused_count(now)
        );
        service.release_queued(now);
    }
}
