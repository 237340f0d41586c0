//! Reads INI sections key by key and reports all findings together.
//!
//! The library `ini_core` splits the text into lines; this crate adds types, ranges and line numbers.
//! It doesn't define any keys.

mod excerpt;
mod finding;
mod keys;
mod section;

pub use excerpt::excerpt;
pub use finding::Finding;
pub use keys::Keys;
pub use section::{Entry, Section, sections};

/// A value, or all findings in its text.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;
