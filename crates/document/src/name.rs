//! Validates names of sections, teams and failure domains.

use std::sync::Arc;

use ini::excerpt;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns the name if it is valid.
pub(crate) fn check(name: &str) -> Result<Arc<str>, String> {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(format!(
            "`{}` is no name: 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`",
            excerpt(name)
        ));
    }
    Ok(name.into())
}
