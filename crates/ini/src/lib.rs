//! INI sections read key by key, with every finding collected and reported together.
//!
//! The library `ini_core` splits the text; this crate gives each key a type, a range and a line.
//! It knows nothing of what the keys mean.

mod excerpt;
mod finding;
mod keys;
mod section;

pub use excerpt::excerpt;
pub use finding::Finding;
pub use keys::Keys;
pub use section::{Entry, Section, sections};

/// A value, or every finding that speaks against its text.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;
