//! Routes from callers' requests to services.
//!
//! - [`check`]: check of a configuration before it is sent.
//! - [`route`]: one route, whether its requests may run more than once, and its time limits.
//! - [`table`]: all routes of one version, looked up by host and longest path prefix.
//! - [`split`]: weighted split of a route's requests among its services.

pub mod check;
pub mod route;
pub mod split;
pub mod table;

pub use route::Repeat;
pub use route::Route;
pub use split::WeightedService;
pub use table::Limits;
pub use table::RouteTable;
