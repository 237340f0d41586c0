//! An error in a text, with its line and section.

use std::fmt;

/// An error in a text.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Finding {
    /// Line in the text, counted from 1; 0 if the finding concerns the whole text.
    pub line: u32,
    /// Section of the finding; empty before the first section.
    pub section: String,
    /// Description of the error and of the expected value.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: [{}] {}", self.line, self.section, self.message)
    }
}
