//! Snapshot of an instance's routes, server list and members, for instances that can't read them
//! from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::client::CallError;
use wb_http::client::Client;
use wb_http::serve::Handler;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::steering::Card;
use wb_route::RouteTable;
use wb_team::TeamTable;

use crate::Context;
use crate::context::State;
use crate::proxy::ProxyHandler;
use crate::proxy::routed::Origin;

/// Path of the call for a snapshot.
const SNAPSHOT_PATH: &str = "/whole";
/// Path of the call for the routes alone.
const ROUTES_PATH: &str = "/routes";
/// Timeout of the call for a snapshot: a few round trips between failure domains, and the transfer
/// of a large table.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of the call for the routes, of which several run in parallel: allows for the loss of two
/// packets while a connection is opened.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(2500);

/// Routes, server list and members that an instance holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Routes in use.
    pub routes: Option<RouteTable>,
    /// Version up to which the rows of the server list were read; `None` if none were yet.
    pub read_version: Option<ListVersion>,
    /// The server list.
    pub rows: Vec<RowChange>,
    /// Known instances.
    pub cards: Vec<Card>,
    /// Teams of the routes; `None` from builds that send none.
    #[serde(deserialize_with = "wb_types::wire::or_default")]
    pub teams: Option<TeamTable>,
}

impl Snapshot {
    /// Takes the routes with their teams, if the sender at `address` says whether there are teams.
    pub fn take_routes(&mut self, address: SocketAddr) -> Option<RouteTable> {
        with_teams(self.routes.take()?, self.teams.take(), address)
    }
}

/// Routes as instances read them from each other. Older builds read and send the first field alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutesMessage {
    /// Routes in use.
    pub routes: Option<RouteTable>,
    /// Teams of the routes; `None` from builds that send none.
    #[serde(deserialize_with = "wb_types::wire::or_default")]
    pub teams: Option<TeamTable>,
}

impl RoutesMessage {
    /// The routes with their teams, if the sender at `address` says whether there are teams.
    pub fn into_routes(self, address: SocketAddr) -> Option<RouteTable> {
        with_teams(self.routes?, self.teams, address)
    }

    /// The message on the routes in use.
    fn of(routes: Option<&RouteTable>) -> Self {
        Self {
            routes: routes.cloned(),
            teams: routes.map(|routes| routes.teams.clone()),
        }
    }
}

/// Adds the teams to routes that another instance has sent. Routes of a build that doesn't say whether
/// there are teams can't be used: they would open all services to requests without a key if there are.
fn with_teams(
    routes: RouteTable,
    teams: Option<TeamTable>,
    address: SocketAddr,
) -> Option<RouteTable> {
    let Some(teams) = teams else {
        line!(Event::TeamsUntold, peer = address, version = routes.version);
        return None;
    };
    let mut routes = routes;
    routes.teams = teams;
    Some(routes)
}

/// Answers the calls of other instances.
pub struct PeerHandler(pub Arc<Context>);

impl Handler for PeerHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let mut request = request;
        if let Some(origin) = Origin::take(request.headers_mut()) {
            let proxy = ProxyHandler(self.0.clone());
            return async move { proxy.route(request, origin).await }.boxed();
        }
        let bytes = match request.uri().path() {
            SNAPSHOT_PATH => Some(self.encode_snapshot()),
            ROUTES_PATH => Some(self.encode_routes()),
            _ => None,
        };
        async move {
            match bytes {
                Some(bytes) => Response::new(body::full(bytes)),
                None => body::empty_response(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    }
}

impl PeerHandler {
    fn encode_routes(&self) -> Vec<u8> {
        let routes = self.0.state().routes.clone();
        let message = RoutesMessage::of(routes.as_deref());
        postcard::to_stdvec(&message).expect("routes are plain data")
    }

    fn encode_snapshot(&self) -> Vec<u8> {
        let state = self.0.state();
        let RoutesMessage { routes, teams } = RoutesMessage::of(state.routes.as_deref());
        let snapshot = Snapshot {
            routes,
            teams,
            read_version: state.listing.read_version(),
            rows: listing_rows(&state),
            cards: state.steering.cards(),
        };
        postcard::to_stdvec(&snapshot).expect("a snapshot is plain data")
    }
}

/// Returns the server list as rows.
fn listing_rows(state: &State) -> Vec<RowChange> {
    let entries = state.listing.entries().iter();
    entries
        .map(|(name, entry)| RowChange {
            name: name.clone(),
            version: state.listing.row_version(name).unwrap_or(0),
            entry: Some(entry.clone()),
        })
        .collect()
}

/// Requests a snapshot from another instance; `None` if the call fails.
pub async fn fetch(context: &Context, address: SocketAddr) -> Option<Snapshot> {
    call(context, address, SNAPSHOT_PATH, SNAPSHOT_TIMEOUT).await
}

/// Requests only the routes from another instance, since a smaller response is more likely to get
/// through a lossy path. `None` if the call fails, or the instance has no routes or doesn't say whether there are
/// teams.
pub async fn fetch_routes(context: &Context, address: SocketAddr) -> Option<RouteTable> {
    let message: Option<RoutesMessage> = call(context, address, ROUTES_PATH, ROUTES_TIMEOUT).await;
    message?.into_routes(address)
}

/// Calls another instance over a new connection, since an idle one may be dead without notice after
/// a network partition. A failed call is logged.
async fn call<T: DeserializeOwned>(
    context: &Context,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Option<T> {
    context.peer_pool.close_idle(address);
    let client = Client {
        pool: context.peer_pool.clone(),
        address,
        timeout,
        token: None,
    };
    let response = client.get(path).await;
    let decoded = response.and_then(|response| {
        postcard::from_bytes(&response.body).map_err(|err| CallError::Malformed(err.to_string()))
    });
    decoded
        .inspect_err(|err| line!(Event::PeerSilent, peer = address, error = err.to_string()))
        .ok()
}
