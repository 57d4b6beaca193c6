//! Limits that backend servers name in their responses.

use std::collections::HashMap;

use http::HeaderMap;
use wb_balance::ServerKey;
use wb_balance::limit;
use wb_balance::limit::Observation;
use wb_event::Event;
use wb_event::line;
use wb_types::id::Moment;

use super::routed::RoutedRequest;
use super::routed::header_text;
use crate::Context;
use crate::peers::Packet;
use crate::peers::packet::LimitReport;

/// Records what a response to a request that was sent at `sent` says about the limit of its server.
/// Changes are logged.
pub fn observe(
    context: &Context,
    routed: &RoutedRequest,
    server: ServerKey,
    headers: &HeaderMap,
    sent: Moment,
) {
    let names = &context.headers;
    // Bytes of another server, or of another request's response, say nothing about this server now.
    if header_text(headers, &names.request_id) != Some(routed.id.as_str()) {
        return;
    }
    let values = headers.get_all(&names.server_limit).iter();
    // A value that is not text is no number either.
    let limit = match limit::parse(values.map(|value| value.to_str().unwrap_or("?"))) {
        Ok(limit) => limit,
        Err(err) => {
            line!(
                Event::ServerLimit,
                service = routed.service,
                request = routed.id,
                error = err.to_string()
            );
            return;
        }
    };
    // Only a response that is known to be the server's own lifts a limit.
    if limit.is_none() && !headers.contains_key(&names.signature) {
        return;
    }
    let observation = Observation {
        limit,
        sent,
        seen: context.now(),
    };
    let mut state = context.state();
    let Some(service) = state.services.get_mut(&routed.service) else {
        return;
    };
    let Some(change) = service.balancer.observe_limit(server, observation) else {
        return;
    };
    line!(
        Event::ServerLimit,
        service = routed.service,
        server = change.server,
        limit = change.limit,
        before = change.before,
        request = routed.id
    );
    service.release_queued(observation.seen);
    if change.is_news {
        let report = LimitReport::new(&change.server, observation, observation.seen);
        let packet = Packet::ServerLimits {
            from: context.settings.card.name.clone(),
            limits: HashMap::from([(routed.service.clone(), vec![report])]),
        };
        context.send_packet(packet, state.steering.peer_addresses());
    }
}
