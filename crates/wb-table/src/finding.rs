//! Errors in a table file, with their position.

use std::fmt;

/// An error in a table file or an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Line of the file, from 1; 0 if the error does not belong to a line.
    pub line: u64,
    /// Name of the column; `line` or a part of an edit for errors outside one column.
    pub column: String,
    /// Description of the error.
    pub text: String,
}

impl Finding {
    /// Creates a finding for a line and column.
    pub fn new(line: u64, column: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            line,
            column: column.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}, {}: {}", self.line, self.column, self.text)
    }
}
