//! A record of a stream.

use bytes::Bytes;

use crate::Offset;

/// A record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Content as appended. It is untrusted: anyone can append to a stream.
    pub data: Bytes,
}
