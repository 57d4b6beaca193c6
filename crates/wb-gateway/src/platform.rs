//! Interface to a platform, which an adapter implements: its tables, its calls to the daemon and
//! its header names.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use http::HeaderName;
use wb_members::listing::ListVersion;
use wb_members::listing::RowChange;
use wb_members::registration::RowVersion;
use wb_members::steering::Card;
use wb_quarantine::Report;
use wb_route::RouteTable;
use wb_types::id::InstanceName;
use wb_types::id::RequestKey;

/// Failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call was not executed.
    #[error("platform is unavailable: {0}")]
    Unavailable(String),
    /// The call was not executed, since too many were made.
    #[error("platform accepts no more calls for now")]
    Throttled,
    /// The call may have been executed.
    #[error("outcome of the platform call is unknown: {0}")]
    Indeterminate(String),
    /// The platform no longer keeps the changes since the requested version.
    #[error("platform no longer keeps the changes since the requested version")]
    Compacted,
    /// The response does not have the documented format.
    #[error("unexpected platform response: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether servers may have failed to reach the platform as well.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Indeterminate(_))
    }
}

/// A row, or a part of one, that can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowError {
    /// Table and key of the row, and the part of it if not all is affected.
    pub row: String,
    /// What is wrong with it.
    pub message: String,
}

/// Rows of the table of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    /// Version of the table up to which the rows are complete.
    pub read_version: ListVersion,
    /// Changed rows. A row that can't be decoded has no entry.
    pub rows: Vec<RowChange>,
    /// Rows that can't be decoded.
    pub errors: Vec<RowError>,
}

/// Row of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRow {
    /// Name of the instance.
    pub name: InstanceName,
    /// Version of the row.
    pub version: RowVersion,
    /// What the instance says of itself; `None` if it can't be decoded.
    pub card: Option<Card>,
}

/// Registered instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Their rows.
    pub rows: Vec<MemberRow>,
    /// Rows that can't be decoded.
    pub errors: Vec<RowError>,
}

/// Routes read from the platform.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// Version of the table up to which this is the newest state.
    pub read_version: ListVersion,
    /// The routes; `None` if there are none, or none newer than the requested version.
    pub table: Option<RouteTable>,
    /// Routes that can't be decoded.
    pub errors: Vec<RowError>,
}

/// Result of a write to an instance's row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowWrite {
    /// It was performed.
    Performed,
    /// It was not, since the row has another version. This is the row; `None` if there is none.
    Superseded(Option<MemberRow>),
}

/// Requests that were held when their rows were written.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    /// What was known of them.
    pub reports: Vec<Report>,
    /// Rows that can't be decoded.
    pub errors: Vec<RowError>,
}

/// Number by which the platform's store counts how often it came back from an older copy of itself.
pub type Era = u64;

/// Tables of the platform that the daemon uses.
pub trait Catalog: Send + Sync {
    /// Highest era that any response has named; `None` before the first.
    fn era(&self) -> Option<Era>;
    /// Reads the newest routes.
    fn routes(&self) -> BoxFuture<'_, Result<Routes, Error>>;
    /// Waits up to `wait` for routes that are newer than `after`.
    fn watch_routes(
        &self,
        after: ListVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Routes, Error>>;
    /// Reads all backend servers.
    fn servers(&self) -> BoxFuture<'_, Result<Servers, Error>>;
    /// Waits up to `wait` for changes of the backend servers after `after`.
    fn watch_servers(
        &self,
        after: ListVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Servers, Error>>;
    /// Writes this instance's row, by which other instances find it, if the row that it replaces has this
    /// version.
    fn register(&self, card: &Card, replaced: RowVersion)
    -> BoxFuture<'_, Result<RowWrite, Error>>;
    /// Registered instances.
    fn members(&self) -> BoxFuture<'_, Result<Members, Error>>;
    /// Removes an instance's row if it has this version.
    fn deregister(
        &self,
        name: &InstanceName,
        version: RowVersion,
    ) -> BoxFuture<'_, Result<RowWrite, Error>>;
    /// Reads the requests that are held.
    fn holds(&self) -> BoxFuture<'_, Result<Holds, Error>>;
    /// Writes what is known of a request that is held, so that it outlasts all instances.
    fn write_hold(&self, report: &Report) -> BoxFuture<'_, Result<(), Error>>;
    /// Removes the row of a request.
    fn remove_hold(&self, key: RequestKey) -> BoxFuture<'_, Result<(), Error>>;
}

/// Header names in requests and responses.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Request id, which differs for each attempt of the caller; servers echo it.
    pub request_id: HeaderName,
    /// Time that the sender waits for the response, in milliseconds.
    pub deadline: HeaderName,
    /// Proof that a response comes from a server.
    pub signature: HeaderName,
    /// Name of the only server that may execute the request.
    pub target: HeaderName,
    /// Marks a response to a request that was not executed.
    pub not_executed: HeaderName,
    /// Requests a second that the server takes from all instances together.
    pub server_limit: HeaderName,
    /// Name of the server that made a response to a health check.
    pub instance: HeaderName,
    /// Marks a response of a server that is leaving.
    pub server_leaving: HeaderName,
    /// Key of the caller's team, in requests of callers.
    pub key: HeaderName,
    /// Name of the caller's team, in requests to servers.
    pub team: HeaderName,
}

/// A caller's query for the addresses to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressQuery {
    /// Host that the caller wants to reach.
    pub host: String,
    /// Failure domain of the caller, if given.
    pub domain: Option<String>,
}

/// Format of the platform's calls to the daemon.
pub trait DirectoryApi: Send + Sync {
    /// Parses a directory query; `None` if the request is not one.
    fn parse_query(&self, uri: &http::Uri) -> Option<AddressQuery>;
    /// Encodes the answer to a directory query, which callers may cache for `ttl`.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
    /// Whether the request is a readiness check.
    fn is_readiness_check(&self, uri: &http::Uri) -> bool;
}
