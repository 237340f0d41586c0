//! The first line of a document printed by `show`, which holds its version.
//!
//! Publishing an edited file must not undo changes that others made after it was printed, so the
//! file carries the version that it is based on.

use document::Version;

const PREFIX: &str = "; fireflydrum version ";

/// Formats the line for a document of `version`.
#[must_use]
pub fn line(version: Version) -> String {
    format!("{PREFIX}{version}\n")
}

/// Splits a file into the version of its first line, if there is one, and the document. Line numbers
/// of the document are preserved.
#[must_use]
pub fn split(text: &str) -> (Option<Version>, String) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let version = first.strip_prefix(PREFIX).and_then(|it| it.trim().parse().ok());
    match version {
        Some(_) => (version, format!("\n{rest}")),
        None => (None, text.to_owned()),
    }
}
