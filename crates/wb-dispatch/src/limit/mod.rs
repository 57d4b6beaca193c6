//! Fleet-wide limits, of which each home admits a share.

mod bucket;
mod demand;
mod share;

pub use bucket::TokenBucket;
pub use demand::DemandMeter;
pub use share::OtherHome;
pub use share::next_share;
