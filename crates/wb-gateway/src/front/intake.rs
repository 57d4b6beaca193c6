//! Which route a request takes, and how much time it has.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use wb_route::Route;
use wb_types::id::Moment;
use wb_types::id::ServiceName;

use crate::Context;

/// Refusal of a request that can't be forwarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Status of the answer.
    pub status: StatusCode,
    /// Why.
    pub reason: &'static str,
    /// When it is worth asking again.
    pub after: Option<Duration>,
}

impl Rejection {
    /// A refusal that no repetition changes.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            after: None,
        }
    }

    /// A refusal of a request that was not run and may come back.
    pub fn later(reason: &'static str, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            after: Some(after),
        }
    }
}

/// Time until a caller is told to come back while the routes are not known yet.
const NO_ROUTES: Duration = Duration::from_millis(500);
/// Time until a caller is told to come back, to another instance, while this one ends.
const LEAVING: Duration = Duration::from_millis(200);

/// A request with its route and its time.
#[derive(Debug)]
pub struct Intake {
    /// Id of the caller's attempt.
    pub id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the routes.
    pub version: u64,
    /// Service that runs it.
    pub service: ServiceName,
    /// When its head was read.
    pub arrived: Moment,
    /// When its final answer is due.
    pub deadline: Moment,
    /// Largest body allowed, in bytes.
    pub body_max: u64,
    /// Its head.
    pub head: Parts,
}

impl Intake {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] if it has no route, or breaks the bounds on callers.
    pub fn read(context: &Context, head: Parts) -> Result<Self, Rejection> {
        let arrived = context.now();
        if context.is_closing() {
            return Err(Rejection::later("leaving", LEAVING));
        }
        let routes = context.state().routes.clone();
        let Some(routes) = routes else {
            return Err(Rejection::later("no_routes", NO_ROUTES));
        };
        if size(&head.headers) > routes.limits.head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(Rejection::new(status, "head_too_large"));
        }
        let named = head.headers.get(http::header::HOST);
        let host = named.and_then(|host| host.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = routes.find(host, head.uri.path()) else {
            return Err(Rejection::new(StatusCode::NOT_FOUND, "no_route"));
        };
        let Some(id) = text(&head.headers, &context.headers.request_id) else {
            return Err(Rejection::new(StatusCode::BAD_REQUEST, "no_request_id"));
        };
        let Some(part) = route.service_for(context.serial()) else {
            return Err(Rejection::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_service",
            ));
        };
        let given = text(&head.headers, &context.headers.deadline);
        let given = given.and_then(|millis| millis.parse().ok());
        let given = given.map_or(route.timeout, Duration::from_millis);
        Ok(Self {
            id: id.to_owned(),
            version: routes.version,
            service: part.service.clone(),
            arrived,
            deadline: arrived + given.min(route.timeout),
            body_max: routes.limits.body_bytes,
            route: route.clone(),
            head,
        })
    }
}

impl Intake {
    /// Some usual durations of the route, but a shortest time at least.
    pub fn usual(&self, context: &Context, times: u32, least: Duration) -> Duration {
        let state = context.state();
        let service = state.services.get(&self.service);
        let usual = service.map(|service| service.balancer.typical_duration(&self.route.name));
        (usual.unwrap_or_default() * times).max(least)
    }
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Size of a head, in bytes.
fn size(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}
