//! Fair shares of what is scarce, by weight, without I/O.
//!
//! - [`clock`]: the order in which flows are served.
//! - [`parts`]: who may still take of an amount that several use.

pub mod clock;
pub mod parts;

pub use clock::FairClock;
pub use parts::Parts;
