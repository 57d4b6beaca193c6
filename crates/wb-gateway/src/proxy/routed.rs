//! Route and deadline of a request.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::request::Parts;
use wb_balance::TeamShare;
use wb_http::pool::RequestTag;
use wb_http::serve::ReceivedAt;
use wb_quarantine::Standing;
use wb_route::Route;
use wb_team::Caller;
use wb_types::id::Moment;
use wb_types::id::RequestKey;
use wb_types::id::ServiceName;
use wb_types::id::TeamName;

use super::team;
use crate::Context;

/// Reason to answer a request without forwarding it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Status of the response.
    pub status: StatusCode,
    /// Reason, as it is logged.
    pub reason: &'static str,
    /// Time after which a retry makes sense; `None` if a retry won't help.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection that a retry won't change.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Creates a rejection of a request that was not executed and may be retried.
    pub fn retry_later(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// Retry delay that callers are given while the routes are not known yet.
const NO_ROUTES_RETRY: Duration = Duration::from_millis(500);
/// Retry delay that callers are given while this instance shuts down; the retry reaches another
/// instance.
const LEAVING_RETRY: Duration = Duration::from_millis(200);

/// Header of a request that another instance has passed on: the number of attempts that are left.
const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("wisteria-attempts-left");

/// Where a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From another instance, which had no way to a server itself.
    Instance {
        /// Attempts that are left.
        attempts: u32,
    },
}

impl Origin {
    /// Reads and removes the mark of a request that another instance has passed on; `None` if it has
    /// none.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(ATTEMPTS_LEFT)?;
        let attempts = value.to_str().ok()?.parse().ok()?;
        Some(Self::Instance { attempts })
    }

    /// Marks a request that is passed on.
    pub fn mark(headers: &mut HeaderMap, attempts: u32) {
        headers.insert(ATTEMPTS_LEFT, HeaderValue::from(attempts));
    }
}

/// A request with its route and deadline.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Request id given by the caller.
    pub id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the routes by which it was routed.
    pub routes_version: u64,
    /// Service that executes it.
    pub service: ServiceName,
    /// When it was received. It may have waited behind another request on its connection.
    pub arrived: Moment,
    /// When the complete response is due.
    pub deadline: Moment,
    /// Largest body allowed, in bytes.
    pub body_max: u64,
    /// Its head.
    pub head: Parts,
    /// Where it came from.
    pub origin: Origin,
    /// Team of the caller; `None` if the configuration names no teams, or for public routes.
    pub caller: Option<Caller>,
    /// Tells it from others on the connections to servers.
    pub tag: RequestTag,
    key: OnceLock<RequestKey>,
}

impl RoutedRequest {
    /// Finds the route and deadline of a request by its head.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] if there is no route, the head is too large, the request id or a known key is
    /// missing, or the instance takes no requests.
    pub fn read(context: &Context, head: Parts, origin: Origin) -> Result<Self, Rejection> {
        let mut head = head;
        let received = head.extensions.get::<ReceivedAt>();
        let waited = received.map_or(Duration::ZERO, |received| received.0.elapsed());
        let arrived = context.now().saturating_sub(waited);
        if context.is_closing() {
            return Err(Rejection::retry_later("leaving", LEAVING_RETRY));
        }
        let routes = context.state().routes.clone();
        let Some(routes) = routes else {
            return Err(Rejection::retry_later("no_routes", NO_ROUTES_RETRY));
        };
        let head_size = header_size(&head.headers);
        let claim = team::take_claim(context, &routes.teams, &mut head.headers, origin);
        if head_size > routes.limits.head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(Rejection::new(status, "head_too_large"));
        }
        let Some(route) = routes.find(host(&head), head.uri.path()) else {
            return Err(Rejection::new(StatusCode::NOT_FOUND, "no_route"));
        };
        let Some(id) = header_text(&head.headers, &context.headers.request_id) else {
            return Err(Rejection::new(StatusCode::BAD_REQUEST, "no_request_id"));
        };
        let caller = team::identify(context, &routes.teams, &route.name, claim)?;
        let serial = context.next_serial();
        let Some(weighted) = route.service_for(serial) else {
            return Err(Rejection::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_service",
            ));
        };
        let timeout = header_text(&head.headers, &context.headers.deadline);
        let timeout = timeout.and_then(|millis| millis.parse().ok());
        let timeout = timeout.map_or(route.timeout, Duration::from_millis);
        Ok(Self {
            id: id.to_owned(),
            routes_version: routes.version,
            service: weighted.service.clone(),
            arrived,
            deadline: arrived + timeout.min(route.timeout),
            body_max: routes.limits.body_bytes,
            route: route.clone(),
            head,
            origin,
            caller,
            tag: serial,
            key: OnceLock::new(),
        })
    }

    /// Most servers that the request may be sent to.
    pub fn attempts_max(&self) -> u32 {
        let most = self.route.max_attempts;
        match self.origin {
            Origin::Caller => most,
            Origin::Instance { attempts } => attempts.min(most),
        }
    }

    /// Priority of the request: that of its team goes before that of its route.
    pub fn priority(&self) -> u8 {
        let caller = self.caller.as_ref();
        let priority = caller.and_then(|caller| caller.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// The team of the request.
    pub fn team(&self) -> Option<&TeamName> {
        self.caller.as_ref().map(|caller| &caller.team)
    }

    /// The team of the request, and what it is due.
    pub fn team_share(&self) -> Option<TeamShare> {
        let caller = self.caller.as_ref()?;
        Some(TeamShare {
            team: caller.team.clone(),
            weight: caller.weight,
        })
    }

    /// Sets the key, once the body has been read.
    pub fn set_key(&self, key: RequestKey) {
        self.key.get_or_init(|| key);
    }

    /// What is known of the request as one that may crash servers.
    pub fn standing(&self, context: &Context) -> Standing {
        let key = self.key();
        key.map_or(Standing::Clear, |key| {
            context.state().quarantine.standing(key, context.now())
        })
    }

    /// Key by which the request is recognized when it comes again; `None` before the body has been
    /// read.
    pub fn key(&self) -> Option<RequestKey> {
        self.key.get().copied()
    }
}

impl RoutedRequest {
    /// Returns `factor` times the typical latency of the route, but at least `min`.
    pub fn latency_threshold(&self, context: &Context, factor: u32, min: Duration) -> Duration {
        let state = context.state();
        let service = state.services.get(&self.service);
        let target = self.route.target_latency;
        let typical = service.map_or(target, |service| {
            service.balancer.typical_duration(&self.route.name, target)
        });
        (typical * factor).max(min)
    }
}

/// Returns the host that a request is for; empty if it names none.
pub fn host(head: &Parts) -> &str {
    let header = header_text(&head.headers, &http::header::HOST);
    header.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Returns a header as text, if it is present and valid.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the size of all header fields, in bytes.
fn header_size(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}
