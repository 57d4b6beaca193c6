//! Ids and domain types shared by every part of the fleet.
//!
//! - [`id`]: type aliases for names, versions and times.
//! - [`policy`]: rows of the policy table.
//! - [`roster`]: instances and backend servers as the platform lists them.
//! - [`outcome`]: what a caller is told when it gets no answer of a backend server.
//! - [`member`]: what instances tell each other about themselves.
//! - [`request`]: what a decision needs to know about one request.

pub mod id;
pub mod member;
pub mod outcome;
pub mod policy;
pub mod request;
pub mod roster;
