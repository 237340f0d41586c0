//! One thing wrong with a text, with its place.

use std::fmt;

/// One thing wrong with a text.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Finding {
    /// Line in the text, counted from 1; 0 if the finding concerns the whole text.
    pub line: u32,
    /// Section in which the finding stands; empty before the first section.
    pub section: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: [{}] {}", self.line, self.section, self.message)
    }
}
