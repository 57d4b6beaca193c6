//! Stand-ins for the users' platform and backend servers, by their published protocol. These play
//! the users' side and therefore use the users' names.
//!
//! - [`store`]: the store, with outages, lost answers and dropped history on request.
//! - [`server`]: a backend server that counts what it runs and fails on request.
//! - [`fixtures`]: settings files, configurations and rows as the platform writes them.

pub mod fixtures;
pub mod server;
pub mod store;

pub use server::Ledger;
pub use server::Server;
pub use store::Store;
