//! Stand-ins for the users' platform and backend servers, by their published protocol. These play
//! the users' side and therefore use the users' names.
//!
//! - [`store`]: the store, with outages, lost answers and dropped history on request.
//! - [`server`]: a backend server that counts what it runs and fails on request.
//! - [`site`]: settings files, configurations and rows as the platform writes them.

pub mod server;
pub mod site;
pub mod store;

pub use server::Ledger;
pub use server::Server;
pub use store::Store;
