//! Actions that the engine requests.

use bytes::Bytes;

use crate::{Batch, Incarnation, Key, Offset, Outcome, Stream, Ticket, Unreadable};

/// An action that the engine requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a waiting request.
    Reply(Ticket, Outcome),
    /// Let this request execute its order: request a permit, dispatch, report the outcome.
    Start(Ticket, Key),
    /// Forward a request to an incarnation.
    Forward(Ticket, Incarnation),
    /// Append a record to a stream, once.
    Append {
        /// Number of the append, to be used in the event that reports its result.
        batch: Batch,
        /// The stream.
        stream: Stream,
        /// The record.
        record: Bytes,
    },
    /// Read all records of a stream in order, from an offset on, until
    /// [`Unfollow`](Self::Unfollow).
    Follow(Stream, Offset),
    /// Stop reading a stream.
    Unfollow(Stream),
    /// The current incarnation was revoked: choose a new one at random.
    StartIncarnation,
    /// Log that a record was skipped.
    Skipped {
        /// The stream.
        stream: Stream,
        /// Offset of the record.
        offset: Offset,
        /// Why the record can't be read.
        finding: Unreadable,
    },
}
