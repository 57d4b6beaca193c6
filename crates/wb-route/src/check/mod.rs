//! Check of a configuration before it is sent, without I/O.
//!
//! - `routes`: routes that can never match, and services that are missing.
//! - `limits`: limits that contradict each other.
//! - [`difference`]: what differs from the version in force.

pub mod difference;
mod limits;
mod routes;

use std::collections::BTreeMap;

use serde::Serialize;
use strum::Display;
use wb_types::id::ServiceName;

use crate::RouteTable;

pub use difference::Change;
pub use difference::compare;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration doesn't do what it says.
    Error,
    /// It probably doesn't do what is meant.
    Warning,
}

/// What is wrong with one part of a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// The part, such as `routes/lookup`.
    pub place: String,
    /// What is wrong with it.
    pub text: String,
}

impl Finding {
    /// A part that doesn't do what it says.
    pub fn error(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            place: place.into(),
            text: text.into(),
        }
    }

    /// A part that probably doesn't do what is meant.
    pub fn warning(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, text)
        }
    }
}

/// Number of servers by service; empty if nothing is known of them.
pub type ServerCounts = BTreeMap<ServiceName, u32>;

/// Checks a configuration. Findings are in the order of severity and place.
pub fn check(table: &RouteTable, servers: &ServerCounts) -> Vec<Finding> {
    let mut findings = routes::check(table);
    findings.extend(limits::check(table, servers));
    findings.sort();
    findings
}

/// Place of a route.
fn route_place(name: &str) -> String {
    format!("routes/{name}")
}
