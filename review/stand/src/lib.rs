//! Stand-ins of the platform's store, backend servers and callers for the cases of the review, by the
//! users' pages, and the start of the daemons.

pub mod caller;
pub mod daemon;
pub mod http;
pub mod json;
pub mod record;
pub mod relay;
pub mod server;
pub mod store;
pub mod trial;
