//! Fleet-wide rate limits, of which each home admits a share.

mod bucket;
mod demand;
mod share;

pub use bucket::Bucket;
pub use demand::Demand;
pub use share::Other;
pub use share::next as next_share;
