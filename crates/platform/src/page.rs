//! Consecutive records of a stream.

use crate::{Offset, Record};

/// Consecutive records of a stream, with the bounds of what the stream keeps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Oldest offset that the stream keeps; equal to the end of the stream if it keeps none.
    pub first: Offset,
    /// Offset at which to read on; less than the offset asked for if the stream ends before it.
    pub next: Offset,
    /// Records in the order of their offsets; empty at the end of the stream.
    pub records: Vec<Record>,
}
