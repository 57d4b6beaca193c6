//! What is wrong with a file, and where.

use std::fmt;

/// One fault of a sheet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Line of the file, from 1; 0 when the fault is of the table as a whole.
    pub line: u64,
    /// Column name, or the row's key.
    pub column: String,
    /// What is wrong.
    pub text: String,
}

impl Finding {
    /// A finding at a line and column.
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
