//! Requests that are passed on to another instance, since this one has no way to a server.
//!
//! The other one handles them as its own, and passes them on no further. Nothing else differs: the id,
//! the deadline, the body and the server's response stay as they are. Where the configuration names
//! teams, the team of the caller goes along instead of its key.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use rand::seq::IndexedRandom;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::header::end_to_end;
use wb_http::pool::SendOptions;
use wb_types::id::InstanceName;

use super::attempt::Outcome;
use super::routed::Origin;
use super::routed::RoutedRequest;
use super::team;
use crate::Context;

/// Most connections to one other instance. Each has one request at a time.
const CONNECTIONS_MAX: u32 = 256;
/// Header of a refusal by an instance that has no way to a server either.
pub const UNREACHABLE: HeaderName = HeaderName::from_static("wisteria-unreachable");

/// Another instance, to which requests are passed on.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    address: SocketAddr,
}

/// Chooses an instance that reaches the servers, as far as known, and is not among those that were
/// tried.
pub fn choose(context: &Context, tried: &[InstanceName]) -> Option<Peer> {
    let found = context.state().steering.reaching_peers(context.now());
    let untried: Vec<_> = found
        .into_iter()
        .filter(|(name, _)| !tried.contains(name))
        .collect();
    let (name, address) = untried.choose(&mut rand::rng())?.clone();
    Some(Peer { name, address })
}

/// Passes a request on, with so many attempts left, and waits for the response until the request's
/// deadline.
pub async fn pass_on(
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    peer: Peer,
    attempts: u32,
    body: Body,
) -> Outcome {
    line!(
        Event::Passed,
        request = routed.id,
        service = routed.service,
        to = peer.name
    );
    let request = build_request(&context, &routed, attempts, body);
    let options = SendOptions::new(CONNECTIONS_MAX, routed.route.repeat.is_idempotent());
    let sending = context.peer_pool.send(peer.address, options, request);
    let result = tokio::select! {
        result = sending => result,
        () = context.wait_until_due(routed.deadline) => {
            return Outcome::Indeterminate { reason: "timeout" };
        }
    };
    match result {
        Ok(response) if response.headers().contains_key(UNREACHABLE) => Outcome::NotExecuted {
            reason: "peer_unreachable",
            reached: false,
            body: None,
        },
        Ok(response) => {
            let (mut parts, stream) = response.into_parts();
            parts.headers = end_to_end(&parts.headers);
            Outcome::Response(Response::from_parts(parts, body::boxed(stream)))
        }
        Err(err) => fail(&routed, &peer, err),
    }
}

fn fail(routed: &RoutedRequest, peer: &Peer, err: SendError) -> Outcome {
    line!(
        Event::AttemptFailed,
        request = routed.id,
        service = routed.service,
        peer = peer.name,
        reason = "peer",
        error = err.to_string()
    );
    match err {
        SendError::NotSent { request, .. } => Outcome::NotExecuted {
            reason: "peer",
            reached: false,
            body: Some(request.into_body()),
        },
        SendError::NoResponse { .. } => Outcome::Indeterminate { reason: "peer" },
    }
}

fn build_request(
    context: &Context,
    routed: &RoutedRequest,
    attempts: u32,
    body: Body,
) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = routed.head.method.clone();
    if let Some(path) = routed.head.uri.path_and_query() {
        *request.uri_mut() = http::Uri::from(path.clone());
    }
    let mut headers = end_to_end(&routed.head.headers);
    headers.remove(http::header::EXPECT);
    let remaining = routed.deadline.saturating_sub(context.now());
    let remaining = HeaderValue::from(remaining.as_millis() as u64);
    headers.insert(&context.headers.deadline, remaining);
    Origin::mark(&mut headers, attempts);
    team::mark(&mut headers, routed.caller.as_ref(), &context.headers);
    *request.headers_mut() = headers;
    request
}
