//! The outcome of a verb: its output and exit code.

use std::fmt::Display;

use serde::Serialize;

/// Exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Code {
    /// Success.
    Done = 0,
    /// A file or a host could not be used.
    Failed = 1,
    /// Wrong arguments or settings.
    Usage = 2,
    /// The document has findings; nothing was published.
    Findings = 3,
    /// The change conflicts with another one; nothing was published.
    Conflict = 4,
    /// It is unknown whether the change was published.
    Unknown = 5,
    /// Published, but not in force on every live host in time.
    Lagging = 6,
    /// The platform's log can't be reached; nothing was published.
    Unavailable = 7,
}

impl Code {
    /// Description of all codes for the help pages.
    pub const HELP: &'static str = "\
exit codes:
  0  done
  1  a file or a host could not be used
  2  wrong arguments or settings
  3  the document has findings; nothing was published
  4  the change conflicts with another one; nothing was published
  5  unknown whether the change was published; see `history --id`
  6  published, but not in force on every live host in time
  7  the platform's log can't be reached; nothing was published
";
}

/// The outcome of a verb.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Output as text.
    pub text: String,
    /// Output as one JSON value.
    pub json: String,
    /// Exit code.
    pub code: Code,
}

impl Outcome {
    /// Creates an outcome with `report` as text and as JSON.
    #[must_use]
    pub fn new<T: Display + Serialize>(report: &T, code: Code) -> Self {
        let json = serde_json::to_string(report).unwrap_or_else(|err| format!("\"{err}\""));
        Self { text: report.to_string(), json, code }
    }
}
