//! Interface of the log.

use bytes::Bytes;

use crate::{Offset, Page, Result};

/// An append-only log of named streams.
pub trait Log: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// The record is sent at most once per call, but the service may still store it twice.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`](crate::Error::Refused) if the append certainly took no effect, and
    /// [`Error::Unknown`](crate::Error::Unknown) if it may have.
    fn append(&self, stream: &str, record: &Bytes) -> Result<Offset>;

    /// Reads at most `limit` records, starting with offset `from`.
    ///
    /// A page may hold fewer than `limit` records even if more follow; read on at `Page::next`. A
    /// stream without any append reads as empty.
    ///
    /// # Errors
    ///
    /// [`Error::Gone`](crate::Error::Gone) if `from` lies before the oldest record kept, and
    /// [`Error::Unavailable`](crate::Error::Unavailable) if there is no usable answer.
    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page>;
}
