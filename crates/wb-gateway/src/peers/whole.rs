//! Everything that an instance knows, for one that can't read it from the platform.

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

use crate::Context;
use crate::context::State;

/// Path of the call for everything.
const PATH: &str = "/whole";
/// Path of the call for the routes.
const ROUTES: &str = "/routes";
/// Longest wait for an answer: some ways between failure domains, and the time for a large table.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for the routes alone, by one way of several: two losses of a packet while a
/// connection is opened.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(2500);

/// Everything that an instance knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Whole {
    /// Routes in force.
    pub routes: Option<RouteTable>,
    /// Mark of the list of servers.
    pub listing: Option<ListVersion>,
    /// The list.
    pub rows: Vec<RowChange>,
    /// Instances.
    pub cards: Vec<Card>,
}

/// Answers other instances.
pub struct Answers(pub Arc<Context>);

impl Handler for Answers {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let bytes = match request.uri().path() {
            PATH => Some(self.whole()),
            ROUTES => Some(self.routes()),
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

impl Answers {
    fn routes(&self) -> Vec<u8> {
        let routes = self.0.state().routes.clone();
        postcard::to_stdvec(&routes.as_deref()).expect("routes are plain data")
    }

    fn whole(&self) -> Vec<u8> {
        let state = self.0.state();
        let whole = Whole {
            routes: state
                .routes
                .as_ref()
                .map(|routes| RouteTable::clone(routes)),
            listing: state.listing.read_version(),
            rows: rows(&state),
            cards: state.steering.cards(),
        };
        postcard::to_stdvec(&whole).expect("what is known is plain data")
    }
}

/// The list of servers as rows of the version that it has.
fn rows(state: &State) -> Vec<RowChange> {
    let entries = state.listing.entries().iter();
    let version = state.listing.content_version().unwrap_or(0);
    entries
        .map(|(name, entry)| RowChange {
            name: name.clone(),
            version,
            entry: Some(entry.clone()),
        })
        .collect()
}

/// Asks another instance for everything that it knows.
pub async fn fetch(context: &Context, address: SocketAddr) -> Option<Whole> {
    call(context, address, PATH, TIMEOUT).await
}

/// Asks another instance for the routes alone, which a lossy path lets through sooner.
pub async fn fetch_routes(context: &Context, address: SocketAddr) -> Option<RouteTable> {
    let routes: Option<Option<RouteTable>> = call(context, address, ROUTES, ROUTES_TIMEOUT).await;
    routes.flatten()
}

/// Calls another instance over a new connection: one that has rested may have gone silent while
/// one of the two was cut off. An instance that does not answer is logged.
async fn call<T: DeserializeOwned>(
    context: &Context,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Option<T> {
    context.peer_pool.close_idle(address);
    let target = Client {
        pool: context.peer_pool.clone(),
        address,
        timeout,
        token: None,
    };
    let answer = target.get(path).await;
    let told = answer.and_then(|answer| {
        postcard::from_bytes(&answer.body).map_err(|err| CallError::Malformed(err.to_string()))
    });
    told.inspect_err(|err| line!(Event::PeerSilent, peer = address, error = err.to_string()))
        .ok()
}
