//! What a verb has come to: what it prints, and the exit code.

use std::fmt::Display;

use serde::Serialize;

/// Exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Done = 0,
    /// A file or a host could not be used.
    Failed = 1,
    /// Wrong arguments or settings.
    Usage = 2,
    /// The document has findings; nothing was published.
    Findings = 3,
    /// Another change stood in the way; nothing was published.
    Conflict = 4,
    /// Nobody can tell yet whether the change was published.
    Unknown = 5,
    /// Published, but not in force on every live host in time.
    Lagging = 6,
    /// The platform's log can't be reached; nothing was published.
    Unavailable = 7,
}

impl Code {
    /// The explanation of all codes for the help pages.
    pub const HELP: &'static str = "\
exit codes:
  0  done
  1  a file or a host could not be used
  2  wrong arguments or settings
  3  the document has findings; nothing was published
  4  another change stood in the way; nothing was published
  5  nobody can tell yet whether the change was published; see `history --id`
  6  published, but not in force on every live host in time
  7  the platform's log can't be reached; nothing was published
";
}

/// What a verb has come to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// For people.
    pub text: String,
    /// For programs: one JSON value.
    pub json: String,
    /// Exit code.
    pub code: Code,
}

impl Outcome {
    /// An outcome whose text and JSON tell the same.
    #[must_use]
    pub fn new<T: Display + Serialize>(report: &T, code: Code) -> Self {
        let json = serde_json::to_string(report).unwrap_or_else(|err| format!("\"{err}\""));
        Self { text: report.to_string(), json, code }
    }
}
