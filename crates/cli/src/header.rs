//! The first line of a shown document, which says of which version it is.
//!
//! A file that is published again must not undo what others changed since it was taken, so the
//! version that it was taken from travels with it.

use document::Version;

const PREFIX: &str = "; fireflydrum version ";

/// The line for a document of `version`.
#[must_use]
pub fn line(version: Version) -> String {
    format!("{PREFIX}{version}\n")
}

/// Divides a file into the version that it was taken from, if it says so, and the document; lines
/// keep their numbers.
#[must_use]
pub fn split(text: &str) -> (Option<Version>, String) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let version = first.strip_prefix(PREFIX).and_then(|it| it.trim().parse().ok());
    match version {
        Some(_) => (version, format!("\n{rest}")),
        None => (None, text.to_owned()),
    }
}
