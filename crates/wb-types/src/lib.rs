//! Ids and domain types shared by all crates of the fleet.
//!
//! - [`id`]: type aliases for names, ids, versions and times.
//! - [`policy`]: rows of the policy table.
//! - [`roster`]: instances and backend servers as the platform lists them.
//! - [`outcome`]: what the fleet answers when no backend server does.
//! - [`member`]: gossip messages between instances.
//! - [`rendezvous`]: rendezvous hashing.
//! - [`request`]: a request in the queues, and outcomes of attempts.
//! - [`wire`]: compatibility of messages between builds.

pub mod id;
pub mod member;
pub mod outcome;
pub mod policy;
pub mod rendezvous;
pub mod request;
pub mod roster;
pub mod wire;
