//! Events that the daemon reports to the engine.

use std::time::Instant;

use bytes::Bytes;

use crate::{Batch, Fingerprint, Incarnation, Key, Number, Offset, Outcome, Stream, Ticket};

/// A request with a key that waits for an outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Submission {
    /// Identifier of the request at this daemon.
    pub ticket: Ticket,
    /// Key of the order.
    pub key: Key,
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Time at which the caller stops waiting; nothing is dispatched from then on.
    pub deadline: Instant,
    /// Highest number up to which the caller has received all outcomes of the session; 0 for none.
    pub acknowledged: Number,
    /// Whether another entry host forwarded the request; such a request isn't forwarded again.
    pub forwarded: bool,
}

/// Possible effect of a failed append.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// The record is definitely not in the log.
    Refused,
    /// The record may be in the log.
    Unknown,
}

/// An event that the daemon reports to the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A request with a key was received.
    Submitted(Submission),
    /// A permitted dispatch ended before anything was sent, so it may be permitted again.
    Unsent(Key),
    /// An order that this engine started has finished.
    Finished(Key, Outcome),
    /// The caller of a waiting request has disconnected.
    Disconnected(Ticket),
    /// The issuer answered a forwarded request.
    ForwardAnswered(Ticket, Outcome),
    /// A request could not be forwarded, or was not answered.
    ForwardFailed {
        /// The request.
        ticket: Ticket,
        /// Whether the issuer is known to have ended, rather than being unreachable.
        gone: bool,
    },
    /// An append was acknowledged.
    Appended(Batch),
    /// An append failed.
    AppendFailed(Batch, Failure),
    /// The next record of a followed stream was read.
    Read {
        /// The stream.
        stream: Stream,
        /// Offset of the record.
        offset: Offset,
        /// The record.
        record: Bytes,
    },
    /// The log dropped records of a followed stream before they were read.
    Trimmed {
        /// The stream.
        stream: Stream,
        /// Offset of the oldest record still in the log.
        first: Offset,
    },
    /// The reachability of the log was determined.
    Log {
        /// Whether the log is reachable.
        up: bool,
    },
    /// The daemon has chosen a new incarnation.
    IncarnationStarted(Incarnation),
    /// Timers may be due.
    Tick,
}
