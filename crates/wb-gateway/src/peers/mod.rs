//! Messages between instances.
//!
//! Small updates are sent as datagrams, which may be lost. Heartbeats therefore repeat the versions
//! that the sender holds; an instance that is behind reads the rest from the platform, or from the
//! sender if the platform does not answer ([`snapshot`]).

pub mod allowance;
pub mod bytes;
pub mod heartbeat;
pub mod leaving;
pub mod limits;
pub mod packet;
pub mod quarantine;
pub mod receive;
pub mod snapshot;
pub mod socket;

pub use packet::Packet;
