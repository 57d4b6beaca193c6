//! Errors of a settings file, with their positions.

use std::fmt;

use marked_yaml::Marker;

/// One error of a settings file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 if unknown.
    pub line: usize,
    /// Column, from 1; 0 if unknown.
    pub column: usize,
    /// Description of the error.
    pub text: String,
}

impl Finding {
    /// Creates a finding at a position.
    pub fn new(file: &str, position: Option<&Marker>, text: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            line: position.map_or(0, Marker::line),
            column: position.map_or(0, Marker::column),
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.text
        )
    }
}
