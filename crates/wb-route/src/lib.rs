//! Routes of callers' requests to services.
//!
//! - [`route`]: one route, what may be repeated on it, and its times.
//! - [`table`]: all routes of one version, found by host and longest prefix.
//! - [`split`]: shares of the services of one route.

pub mod route;
pub mod split;
pub mod table;

pub use route::Repeat;
pub use route::Route;
pub use split::WeightedService;
pub use table::Limits;
pub use table::RouteTable;
