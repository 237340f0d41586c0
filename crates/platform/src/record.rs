//! A record of a stream.

use bytes::Bytes;

use crate::Offset;

/// A record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Content, as it was appended; anyone may have appended it.
    pub data: Bytes,
}
