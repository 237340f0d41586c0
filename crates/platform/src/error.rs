//! Errors of calls to the platform.

use crate::Offset;

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The append certainly has no effect, now or later.
    #[error("append refused: {0}")]
    Refused(String),
    /// The append may have taken effect, or may still do so.
    #[error("append of unknown effect: {0}")]
    Unknown(String),
    /// The requested records were deleted by the retention of the stream.
    #[error("records before offset {first} are no longer retained")]
    Gone {
        /// Oldest offset that the stream still keeps.
        first: Offset,
    },
    /// A read got no usable answer.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
}
