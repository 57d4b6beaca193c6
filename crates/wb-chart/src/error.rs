//! Errors of chart files.

use std::error;
use std::fmt;

/// Why a chart can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The text is not a YAML document with the fields of a chart.
    Syntax(String),
    /// All errors in the definitions of the states.
    Findings(Vec<String>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(text) => write!(f, "malformed chart: {text}"),
            Self::Findings(list) => write!(f, "invalid chart: {}", list.join("; ")),
        }
    }
}

impl error::Error for Error {}
