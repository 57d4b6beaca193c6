//! Stand-in for the platform, with fault injection.

mod handler;
mod store;

pub use handler::PlatformFaults;
pub use handler::StandInPlatform;
pub use store::Store;
