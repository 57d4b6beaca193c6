//! Stand-ins for the users' platform and backend servers, as their published protocol has them.
//! They use the names of that protocol.
//!
//! - [`store`]: the platform's store, with outages, lost responses and compaction of its history.
//! - [`gate`]: a way to it for some instances alone, with faults of its own.
//! - [`server`]: a backend server that records executed requests, with fault injection.
//! - [`fixtures`]: settings files, configurations and rows as the platform writes them.

pub mod fixtures;
pub mod gate;
pub mod server;
pub mod store;

pub use gate::Gate;
pub use server::Ledger;
pub use server::Server;
pub use store::Store;
