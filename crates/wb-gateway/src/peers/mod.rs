//! What instances tell each other.
//!
//! Small news travel in datagrams, which may be lost: beats repeat the versions that the sender
//! holds, and whoever is behind reads the rest from the platform, or from the sender if the
//! platform does not answer ([`whole`]).

pub mod beat;
pub mod hear;
pub mod link;
pub mod packet;
pub mod whole;

pub use packet::Packet;
