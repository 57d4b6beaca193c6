//! What the daemon asks of a platform, and the names that are used on the wire there.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use http::HeaderName;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::steering::Card;
use wb_route::RouteTable;
use wb_types::id::InstanceName;

/// Why the platform gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call took no effect.
    #[error("platform is down: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("platform did not say: {0}")]
    Indeterminate(String),
    /// The changes since the mark are not kept any more.
    #[error("platform has dropped the changes since the mark")]
    Compacted,
    /// The answer is not of the published form.
    #[error("platform answered: {0}")]
    Malformed(String),
}

/// Something that could not be read, and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowError {
    /// Row it stands in.
    pub row: String,
    /// What is wrong.
    pub message: String,
}

/// Rows of the list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    /// Mark up to which they are complete.
    pub mark: ListVersion,
    /// The rows; one that could not be read has no entry.
    pub rows: Vec<RowChange>,
    /// What could not be read.
    pub errors: Vec<RowError>,
}

/// Instances that have joined and not left.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Those that could be read.
    pub cards: Vec<Card>,
    /// What could not be read.
    pub errors: Vec<RowError>,
}

/// The routes as the platform has them.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// Mark up to which this is the newest.
    pub mark: ListVersion,
    /// The routes; `None` if there are none, or none newer than the mark asked for.
    pub table: Option<RouteTable>,
    /// Parts that could not be read.
    pub errors: Vec<RowError>,
}

/// The platform's tables, as far as the daemon uses them.
pub trait Catalog: Send + Sync {
    /// The routes in force.
    fn routes(&self) -> BoxFuture<'_, Result<Routes, Error>>;
    /// Waits for routes that are newer than a mark.
    fn watch_routes(
        &self,
        after: ListVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Routes, Error>>;
    /// All backend servers.
    fn servers(&self) -> BoxFuture<'_, Result<Servers, Error>>;
    /// Waits for changes of the backend servers since a mark.
    fn watch_servers(
        &self,
        after: ListVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Servers, Error>>;
    /// Tells other instances of this one.
    fn register(&self, card: &Card) -> BoxFuture<'_, Result<(), Error>>;
    /// Instances that have joined and not left.
    fn members(&self) -> BoxFuture<'_, Result<Members, Error>>;
    /// Takes an instance out again.
    fn deregister(&self, name: &InstanceName) -> BoxFuture<'_, Result<(), Error>>;
}

/// Header names of requests and answers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of one attempt of a caller; servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Proof that an answer was made by a server.
    pub signature: HeaderName,
    /// Server that alone may run the request.
    pub target: HeaderName,
    /// Says of an answer that the request was not run.
    pub not_executed: HeaderName,
}

/// A caller's question which addresses to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressQuery {
    /// Host that the caller wants to reach.
    pub host: String,
    /// Failure domain of the caller, if it says so.
    pub domain: Option<String>,
}

/// The platform's calls to the daemon.
pub trait DirectoryApi: Send + Sync {
    /// Reads a question which addresses to use; `None` if the call is another one.
    fn parse_query(&self, uri: &http::Uri) -> Option<AddressQuery>;
    /// Answer to such a question.
    fn encode_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;
    /// Whether a call asks if the instance is ready.
    fn is_readiness_check(&self, uri: &http::Uri) -> bool;
}
