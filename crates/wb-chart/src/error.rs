//! Why a chart can't be read.

use std::error;
use std::fmt;

/// Faults of a chart file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The file is not a YAML document of the chart's shape.
    Syntax(String),
    /// Everything that is wrong with the states.
    Findings(Vec<String>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(text) => write!(f, "not a chart: {text}"),
            Self::Findings(list) => write!(f, "faults of the chart: {}", list.join("; ")),
        }
    }
}

impl error::Error for Error {}
