//! Consecutive records of a stream.

use crate::{Offset, Record};

/// Consecutive records of a stream, with the oldest offset and the offset to read on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Oldest offset in the stream; the end of the stream if it holds no records.
    pub first: Offset,
    /// Offset at which to read on; less than the requested offset if the stream ends before that.
    pub next: Offset,
    /// Records in the order of their offsets; empty at the end of the stream.
    pub records: Vec<Record>,
}
