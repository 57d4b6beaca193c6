//! Stand-in for the platform.

mod handler;
mod store;

pub use handler::Faults;
pub use handler::StandInPlatform;
pub use store::Store;
