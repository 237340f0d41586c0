//! What the engine wants done.

use bytes::Bytes;

use crate::{Batch, Incarnation, Key, Offset, Outcome, Stream, Ticket, Unreadable};

/// What the engine wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a waiting request.
    Reply(Ticket, Outcome),
    /// Let this request run its order: ask for a permit, dispatch, report how it finished.
    Start(Ticket, Key),
    /// Pass a request on to an incarnation.
    Forward(Ticket, Incarnation),
    /// Append a record to a stream, once.
    Append {
        /// Number to report back with.
        batch: Batch,
        /// The stream.
        stream: Stream,
        /// The record.
        record: Bytes,
    },
    /// Read a stream from an offset on, all records in order, until told to stop.
    Follow(Stream, Offset),
    /// Stop reading a stream.
    Unfollow(Stream),
    /// The current incarnation was revoked: draw a new one.
    StartIncarnation,
    /// Log that a record was skipped.
    Skipped {
        /// The stream.
        stream: Stream,
        /// Offset of the record.
        offset: Offset,
        /// What is wrong with it.
        finding: Unreadable,
    },
}
