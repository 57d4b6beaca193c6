//! Servers that say in a response that they are leaving.

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use wb_balance::ServerKey;
use wb_event::Event;
use wb_event::line;
use wb_http::pool::PooledResponse;
use wb_members::listing::Lifetime;
use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::routed::RoutedRequest;
use super::routed::header_text;
use super::slot::Slot;
use crate::Context;
use crate::peers::Packet;

/// Value of the header of a server that is leaving.
const IS_LEAVING: &str = "1";

/// Backend server to which a request was sent.
pub struct Receiver {
    /// Key of the server in its balancer.
    pub key: ServerKey,
    server: ServerName,
    lifetime: Option<Lifetime>,
}

impl Receiver {
    /// The server of a slot.
    pub fn of(slot: &Slot) -> Self {
        Self {
            key: slot.assignment.key,
            server: slot.assignment.server.name.clone(),
            lifetime: slot.lifetime,
        }
    }
}

/// Records whether a server says that it is leaving, in its response to a request that was sent at
/// `sent`.
pub fn observe(
    context: &Context,
    routed: &RoutedRequest,
    receiver: &Receiver,
    response: &PooledResponse,
    sent: Moment,
) {
    let names = &context.headers;
    let headers = response.headers();
    // Another server, or a response to another request, says nothing about this server now.
    let echoed = header_text(headers, &names.request_id);
    let is_other = echoed.is_some_and(|echoed| echoed != routed.id);
    if is_other || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if !says_leaving(headers, &names.server_leaving) {
        if echoed.is_some() {
            record_response(context, &receiver.server, sent);
        }
        return;
    }
    if let Some(lifetime) = receiver.lifetime
        && record(context, &receiver.server, lifetime)
    {
        line!(
            Event::ServerLeaving,
            server = receiver.server,
            service = routed.service,
            request = routed.id
        );
    }
}

/// Records that a server says that it is leaving, and tells the other instances. Returns whether
/// that is news.
pub fn record(context: &Context, server: &ServerName, lifetime: Lifetime) -> bool {
    let now = context.now();
    let mut state = context.state();
    let news = state.listing.record_leaving(server, lifetime, now);
    if news || state.listing.update_doubts(now) {
        state.apply_listing(context, now);
    }
    if !news {
        return false;
    }
    let packet = Packet::LeavingServers {
        from: context.settings.card.name.clone(),
        servers: vec![(server.clone(), lifetime)],
    };
    context.send_packet(packet, state.steering.peer_addresses());
    true
}

/// Records that a server did not say that it is leaving, in its response to a request that was sent
/// at `sent`.
pub fn record_response(context: &Context, server: &ServerName, sent: Moment) {
    let now = context.now();
    let mut state = context.state();
    if state.listing.record_response(server, sent) && state.listing.update_doubts(now) {
        state.apply_listing(context, now);
    }
}

/// Whether the headers of a response say that its server is leaving.
pub fn says_leaving(headers: &HeaderMap, name: &HeaderName) -> bool {
    let values = headers.get_all(name).iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|text| text.trim() == IS_LEAVING)
}
