//! What can go wrong between this process and the platform.

use crate::Offset;

/// The answer of the platform, or why there is none.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The append certainly took no effect, now or later.
    #[error("append refused: {0}")]
    Refused(String),
    /// The append may have taken effect, or may still take effect.
    #[error("append of unknown effect: {0}")]
    Unknown(String),
    /// The wanted records have passed the retention of the stream.
    #[error("records before offset {first} are no longer kept")]
    Gone {
        /// Oldest offset that the stream still keeps.
        first: Offset,
    },
    /// A read got no usable answer.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
}
