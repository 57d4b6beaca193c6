//! What is wrong with a settings file, and where.

use std::fmt;

use marked_yaml::Marker;

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 if the library does not say.
    pub line: usize,
    /// Column, from 1; 0 if the library does not say.
    pub column: usize,
    /// What is wrong.
    pub text: String,
}

impl Finding {
    /// A finding at a place.
    pub fn new(file: &str, place: Option<&Marker>, text: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            line: place.map_or(0, Marker::line),
            column: place.map_or(0, Marker::column),
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
