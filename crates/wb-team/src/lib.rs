//! Teams of the configuration: their keys, ranks and allowances, without I/O.
//!
//! - [`key`]: digests of keys, so that no key is held or written.
//! - [`team`]: one team, and what its callers are entitled to.
//! - [`table`]: all teams of one version, and the team of a request.

pub mod key;
pub mod table;
pub mod team;

pub use key::KeyDigest;
pub use table::KeyError;
pub use table::TeamTable;
pub use team::Allowance;
pub use team::Caller;
pub use team::Team;
